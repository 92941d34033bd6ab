/*
 * The `claims resolve` command, which records the outcome of a claim whose outcome is unknown.
 */
import { Command, Option } from "clipanion";
import { ExitCode } from "./ExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

const statesByOutcome: Readonly<Record<string, string>> = {
    ran: "answered",
    "not-run": "abandoned",
    unknown: "unknown",
};

/** Records the outcome of a request that an operator has found out. */
export class ClaimsResolveCommand extends OperatorCommand {
    static override paths = [["claims", "resolve"]];

    static override usage = Command.Usage({
        category: "Claims",
        description: "Record the outcome of a request whose outcome is unknown.",
        details:
            "Give `not-run` only with proof: the request may then run again under its key. `unknown` closes an open"
            + " claim whose instance is lost. Exit codes: 0 recorded, 2 invalid outcome,"
            + " 3 the claim does not exist or is in another state, 4 no control member answered.",
        examples: [["Record that a locker release did run", "basilwing claims resolve regie release-1234 ran"]],
    });

    workspace = Option.String({ name: "workspace" });

    key = Option.String({ name: "key" });

    outcome = Option.String({ name: "outcome" });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const { key, outcome, workspace } = this;
        const outcomes = Object.keys(statesByOutcome);
        if (!outcomes.includes(outcome)) {
            this.context.stderr.write(`outcome: found ${JSON.stringify(outcome)}, expected ${outcomes.join(", ")}\n`);
            return ExitCode.Invalid;
        }
        const body = { workspace, idempotencyKey: key, state: statesByOutcome[outcome] };
        const callOutcome = await client.send({ method: "POST", path: "/v1/claims/resolve", body, isRepeatable: true });
        if (callOutcome.kind === "answered" && callOutcome.status === 409) {
            this.context.stderr.write(`${workspace} ${key}: the claim does not exist or is in another state\n`);
            return ExitCode.Conflict;
        }
        return this.reportOutcome(callOutcome, `${workspace} ${key}: ${outcome}`);
    }
}
