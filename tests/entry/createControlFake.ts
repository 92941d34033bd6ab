/*
 * The control members as entries and sidecars see them: the real claims and quarantine on one log, and answers that
 * can be lost, come late, or not come at all.
 */
import { create } from "@bufbuild/protobuf";
import { ControlClient, ExecuteResult } from "../../src/control";
import { createClaimsPart, createQuarantinePart } from "../../src/control/claims";
import { Command, CommandResultSchema } from "../../src/protocol";
import { Clock } from "../../src/runtime";

/** What the control members do with commands. */
export type ControlMode = "ok" | "down" | "lostAnswers" | "lostCommands" | "lateCommits";

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

    /** Creates the client of one process, which is silent once that process is dead. */
    function createClient(isDead: () => boolean): ControlClient {
        return { execute, query: () => Promise.resolve({ kind: "unreachable", reason: "not asked for" }) };

        async function execute(command: Command): Promise<ExecuteResult> {
            await clock.sleep(commitMilliseconds);
            if (isDead()) {
                return new Promise(() => {});
            }
            switch (mode) {
                case "ok":
                    return apply(command);
                case "down":
                    return { kind: "notCommitted", reason: "no leader" };
                case "lostAnswers":
                    apply(command);
                    return { kind: "unknown", reason: "the answer was lost" };
                case "lostCommands":
                    return { kind: "unknown", reason: "the command was lost" };
                case "lateCommits":
                    void clock.sleep(lateCommitMilliseconds).then(() => apply(command));
                    return { kind: "unknown", reason: "the command comes late" };
            }
        }
    }
}
