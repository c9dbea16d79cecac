"""Short soaks of restarted servers and invalid entries, with fixed seeds.

``runkeel-lab soak --servers`` runs longer ones.
"""

import time
import unittest
from unittest import mock

from runkeel.api.documents import UnreadableDocumentError
from runkeel.api.fleet import Backend
from runkeel.api.machines import Address
from runkeel.gateway.incarnation_tracker import IncarnationTracker
from runkeel_lab.users_platform import use_adapter
from runkeel_lab.users_platform.servers_soak import ServersSoak

use_adapter()

from runkeel_platform import translation  # noqa: E402

SECONDS = 10.0


class ServersSoakTest(unittest.TestCase):
    def test_seed_3(self):
        report = ServersSoak(3, SECONDS).run()
        self.assertEqual(report.violations, [])
        self.assertGreater(report.answered, 100)

    def test_directory_that_ignores_new_incarnations_is_detected(self):
        resolve = IncarnationTracker.resolve

        def resolve_ignoring_new_incarnations(starts, backend, revision):
            known = starts._known.get(backend.backend_id)
            is_new_incarnation = known is not None and known.start != backend.start
            return None if is_new_incarnation else resolve(starts, backend, revision)

        with mock.patch.object(IncarnationTracker, "resolve", resolve_ignoring_new_incarnations):
            report = ServersSoak(3, SECONDS).run()
        self.assertTrue([text for text in report.violations if "does not use" in text])

    def test_directory_that_ignores_restarts_only_during_the_faults_is_detected(self):
        """Guards against a check that sees only restarts without any other fault."""
        resolve = IncarnationTracker.resolve
        check = ServersSoak._check
        faults_ended_ms = []

        def note_end_of_faults(soak):
            soak._restart_all_servers()
            faults_ended_ms.append(int(time.time() * 1000))
            check(soak)

        def resolve_ignoring_restarts(starts, backend, revision):
            known = starts._known.get(backend.backend_id)
            is_new_incarnation = known is not None and known.start != backend.start
            during_faults = not faults_ended_ms or int(backend.start or 0) <= faults_ended_ms[0]
            if is_new_incarnation and during_faults:
                return None
            return resolve(starts, backend, revision)

        with (
            mock.patch.object(ServersSoak, "_check", note_end_of_faults),
            mock.patch.object(IncarnationTracker, "resolve", resolve_ignoring_restarts),
        ):
            report = ServersSoak(3, SECONDS).run()
        self.assertTrue([text for text in report.violations if "does not use" in text])

    def test_parser_that_accepts_invalid_entries_is_detected(self):
        strict = translation.read_server

        def lenient(document):
            try:
                return strict(document)
            except UnreadableDocumentError as unreadable:
                entry = document.content
                try:
                    address = Address.parse(entry["Address"])
                    return Backend(document.name, str(entry["Service"]), address, "a")
                except (KeyError, TypeError, ValueError, AttributeError):
                    raise unreadable from None

        with mock.patch.object(translation, "read_server", lenient):
            report = ServersSoak(3, SECONDS).run()
        self.assertTrue([text for text in report.violations if "wrong entries" in text])


if __name__ == "__main__":
    unittest.main()
