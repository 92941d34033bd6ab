import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { ControlClient, createControlState, ExecuteResult } from "../../../src/control";
import { ConfigurationPart, createConfigurationPart } from "../../../src/control/configuration";
import { InForceReport, OperatorServer, startOperatorServer } from "../../../src/control/operators";
import { createSilentLogger } from "../../../src/logging";
import { Command, CommandResultSchema, CommandSchema, QueryKind } from "../../../src/protocol";
import { Clock, createSystemClock } from "../../../src/runtime";
import { createKeyDigest } from "../../../src/security";

/** A simulated group of control members with a single state, whose failures the test chooses. */
export interface TestControl {
    /** The replicated configuration. */
    part: ConfigurationPart;
    /** The client that executes commands and queries on the state. */
    client: ControlClient;
    /** The commands that were executed. */
    commands: Command[];
    /** The failures of the next commands, in order; commands succeed if empty. */
    failures: ("noLeader" | "lostAnswer" | "lostCommand")[];
    /** The results of the next waits, in order; a revision is in force if empty. */
    reports: InForceReport[];
    /** Starts a server for operators, with `read-token` for the role read and `change-token` for the role change. */
    startServer(clock?: Clock): Promise<OperatorServer>;
}

/** Creates a group with an empty configuration tree. */
export function createTestControl(): TestControl {
    const part = createConfigurationPart();
    const state = createControlState([part]);
    const commands: Command[] = [];
    const failures: TestControl["failures"] = [];
    const reports: InForceReport[] = [];
    const client: ControlClient = { execute, query };
    return { part, client, commands, failures, reports, startServer };

    async function execute(command: Command): Promise<ExecuteResult> {
        const failure = failures.shift();
        if (failure === "noLeader") {
            return { kind: "notCommitted", reason: "no leader" };
        }
        if (failure === "lostCommand") {
            return { kind: "unknown", reason: "no answer" };
        }
        commands.push(command);
        const context = { term: 1n, index: BigInt(commands.length), timeMilliseconds: 1_000 };
        const result = state.apply(toBinary(CommandSchema, command), context);
        if (failure === "lostAnswer") {
            return { kind: "unknown", reason: "no answer" };
        }
        return { kind: "committed", result: fromBinary(CommandResultSchema, result) };
    }

    async function query(
        kind: QueryKind,
        argument: string,
        isLinearizable: boolean,
    ): ReturnType<ControlClient["query"]> {
        if (failures[0] === "noLeader" && isLinearizable) {
            failures.shift();
            return { kind: "unreachable", reason: "no leader" };
        }
        const instance = { instanceId: "entry-1", role: "ENTRY", state: "READY", dataCentre: "rennes", revision: 0 };
        const value = kind === QueryKind.DIRECTORY ? [instance] : state.query(kind, argument);
        return { kind: "answered", index: 1n, value };
    }

    function startServer(clock: Clock = createSystemClock()): Promise<OperatorServer> {
        return startOperatorServer({
            listener: { address: "127.0.0.1", port: 0 },
            operators: [
                { name: "rita", tokenDigest: createKeyDigest("read-token"), role: "read" },
                { name: "carl", tokenDigest: createKeyDigest("change-token"), role: "change" },
            ],
            client,
            operations: { waitInForce: async () => reports.shift() ?? { kind: "inForce" } },
            clock,
            logger: createSilentLogger(),
        });
    }
}
