"""Joins the parts that answer a node's operators."""

from __future__ import annotations

from runkeel.api.http import HttpRoutes
from runkeel.api.interfaces import (
    Configuration,
    EngineDirectory,
    MachineView,
    Membership,
    Ownership,
    PeerClient,
    PeerHandlers,
)
from runkeel.operators.advice import ChangeAdviser
from runkeel.operators.commands import CommandRunner, Writer
from runkeel.operators.queries import QueryRunner
from runkeel.operators.routes import OperatorRoutes
from runkeel.operators.sources import QuerySources
from runkeel.operators.standard_sources import StandardSources
from runkeel.operators.tokens import Authenticator
from runkeel.platform.weight_store import WeightStoreClient
from runkeel.weights.roll_out import RollOut


class OperatorsService:
    """The operators part of one node; it has no tasks of its own.

    Attributes:
        sources: where other parts add their tables.
    """

    def __init__(
        self,
        membership: Membership,
        configuration: Configuration,
        machines: MachineView,
        ownership: Ownership,
        peers: PeerClient,
        handlers: PeerHandlers,
        engines: EngineDirectory,
        roll_out: RollOut,
        writer: Writer,
        weight_store: WeightStoreClient,
        routes: HttpRoutes,
        open_access: bool,
    ) -> None:
        self.sources = QuerySources()
        adviser = ChangeAdviser(membership, machines, weight_store)
        commands = CommandRunner(configuration, writer, adviser)
        StandardSources(
            membership,
            configuration,
            machines,
            ownership,
            engines,
            roll_out,
            commands,
            weight_store,
        ).register(self.sources)
        queries = QueryRunner(membership, machines, peers, handlers, self.sources)
        authenticator = Authenticator(configuration, open_access)
        OperatorRoutes(routes, authenticator, commands, queries)
