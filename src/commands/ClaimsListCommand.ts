/*
 * The `claims list` command, which lists claims by their state.
 */
import { Command, Option } from "clipanion";
import { ClaimJson } from "../control/claims";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

const claimStates = ["open", "answered", "unknown", "abandoned"];

/** Lists the claims of requests that must not run twice. */
export class ClaimsListCommand extends OperatorCommand {
    static override paths = [["claims", "list"]];

    static override usage = Command.Usage({
        category: "Claims",
        description: "List the claims of requests that must not run twice; by default those without a known outcome.",
        details: "Exit codes: 0 listed, 2 unknown state, 4 no control member answered.",
        examples: [
            ["List the claims without a known outcome", "basilwing claims list"],
            ["List the claims that an operator has to resolve", "basilwing claims list --state unknown"],
        ],
    });

    state = Option.String("--state", { description: "Only claims in this state: open, answered, unknown, abandoned." });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const { state } = this;
        if (state !== undefined && !claimStates.includes(state)) {
            this.context.stderr.write(`--state: found ${JSON.stringify(state)}, expected ${claimStates.join(", ")}\n`);
            return ExitCode.Invalid;
        }
        const outcome = await client.send({ method: "GET", path: `/v1/claims?state=${state ?? ""}` });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const claims = outcome.body as readonly ClaimJson[];
        if (this.isJson) {
            this.printJson(claims);
        }
        else {
            const head = ["workspace", "key", "state", "companion", "attempt", "request", "changed"];
            this.printLine(formatTable(head, claims.map(getRow)));
        }
        return ExitCode.Success;
    }
}

/** Gets the table cells of a claim. */
function getRow(claim: ClaimJson): readonly string[] {
    const { attempt, companion, idempotencyKey, requestId, state, timeMilliseconds, workspace } = claim;
    const time = new Date(timeMilliseconds).toISOString();
    return [workspace, idempotencyKey, state, companion, String(attempt), requestId, time];
}
