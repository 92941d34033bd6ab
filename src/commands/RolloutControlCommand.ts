/*
 * The base class of the commands that pause and resume rollouts.
 */
import { Option } from "clipanion";
import { ExitCode } from "./ExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** A command that pauses or resumes a model's rollout. It is idempotent, so the call may be repeated. */
export abstract class RolloutControlCommand extends OperatorCommand {
    model = Option.String({ name: "model" });

    /** The path of the command's HTTP request. */
    protected abstract readonly requestPath: string;

    /** What is printed on success. */
    protected abstract readonly successText: string;

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const { model } = this;
        const outcome = await client.send({
            method: "POST",
            path: this.requestPath,
            body: { model },
            isRepeatable: true,
        });
        if (outcome.kind === "answered" && outcome.status === 409) {
            const { reason } = outcome.body as { reason?: string; };
            this.context.stderr.write(`${model}: ${reason ?? "refused"}\n`);
            return ExitCode.Invalid;
        }
        return this.reportOutcome(outcome, `${model}: ${this.successText}`);
    }
}
