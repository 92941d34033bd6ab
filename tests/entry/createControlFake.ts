/*
 * A fake of the control members for entry processes and sidecars: the real claims and quarantine on one log, with
 * responses that can be lost, late or missing.
 */
import { create } from "@bufbuild/protobuf";
import { ControlClient, ExecuteResult } from "../../src/control";
import { createClaimsPart, createQuarantinePart } from "../../src/control/claims";
import { Command, CommandResultSchema } from "../../src/protocol";
import { Clock } from "../../src/runtime";

/** How the control members treat commands. */
export type ControlMode = "ok" | "down" | "lostResponses" | "lostCommands" | "lateCommits";

const commitMilliseconds = 2;
const lateCommitMilliseconds = 400;

export function createControlFake(clock: Clock) {
    const claims = createClaimsPart();
    const quarantine = createQuarantinePart();
    let index = 0n;
    let mode: ControlMode = "ok";
    return {
        claims,
        quarantine,
        createClient,
        setMode: (newMode: ControlMode) => {
            mode = newMode;
        },
    };

    function apply(command: Command): ExecuteResult {
        const context = { term: 1n, index: ++index, timeMilliseconds: clock.getWallMilliseconds() };
        const result = claims.apply(command, context) ?? quarantine.apply(command, context);
        return { kind: "committed", result: create(CommandResultSchema, { result }) };
    }

    /** Creates the client of one process; its calls never settle once that process has terminated. */
    function createClient(isTerminated: () => boolean): ControlClient {
        return { execute, query: () => Promise.resolve({ kind: "unreachable", reason: "queries are not supported" }) };

        async function execute(command: Command): Promise<ExecuteResult> {
            await clock.sleep(commitMilliseconds);
            if (isTerminated()) {
                return new Promise(() => {});
            }
            switch (mode) {
                case "ok":
                    return apply(command);
                case "down":
                    return { kind: "notCommitted", reason: "no leader" };
                case "lostResponses":
                    apply(command);
                    return { kind: "unknown", reason: "the response was lost" };
                case "lostCommands":
                    return { kind: "unknown", reason: "the command was lost" };
                case "lateCommits":
                    void clock.sleep(lateCommitMilliseconds).then(() => apply(command));
                    return { kind: "unknown", reason: "the command is late" };
            }
        }
    }
}
