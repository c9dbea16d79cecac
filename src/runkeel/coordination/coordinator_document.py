"""The document that names the coordinator; changed by compare-and-swap only."""

from __future__ import annotations

from dataclasses import dataclass

from runkeel.api.documents import (
    CALL_TIMEOUT_SECONDS,
    Document,
    DocumentKind,
    DocumentStore,
)
from runkeel.api.machines import Address


@dataclass(frozen=True, slots=True)
class Coordinator:
    """A coordinator and its term.

    Attributes:
        epoch: number of the term; increases with each term.
        revision: revision of the document, 0 before it is written.
    """

    node_id: str
    address: Address
    zone: str
    epoch: int
    revision: int = 0

    @classmethod
    def from_document(cls, document: Document) -> Coordinator:
        """Parse a document. Raises KeyError, TypeError or ValueError if it is malformed."""
        content = document.content
        return cls(
            content["node"],
            Address.parse(content["address"]),
            content["zone"],
            int(content["epoch"]),
            document.revision,
        )

    def write(
        self,
        store: DocumentStore,
        name: str,
        replaced: Coordinator | None,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Write this claim, on condition that ``replaced`` is still stored (None: no document).

        Raises:
            DocumentConflictError: another node wrote first.
            RunkeelError: the store did not answer.
        """
        content = {
            "node": self.node_id,
            "address": str(self.address),
            "zone": self.zone,
            "epoch": self.epoch,
        }
        if replaced is None:
            store.create(DocumentKind.COORDINATOR, name, content, timeout_seconds)
        else:
            store.replace(
                DocumentKind.COORDINATOR, name, content, replaced.revision, timeout_seconds
            )
