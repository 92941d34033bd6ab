/*
 * The `rollout status` command, which shows the progress of rollouts.
 */
import { Command, Option } from "clipanion";
import { RolloutsResponse } from "../control/placement";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

type RolloutJson = RolloutsResponse["rollouts"][number];

/** Shows each model's rollout and its steps in progress. */
export class RolloutStatusCommand extends OperatorCommand {
    static override paths = [["rollout", "status"]];

    static override usage = Command.Usage({
        category: "Rollouts",
        description: "Show the progress of the rollouts.",
        details:
            "Exit codes: 0 shown, 1 a rollout has failed, 2 the model has no rollout, 4 no control member answered.",
        examples: [
            ["Show all rollouts", "basilwing rollout status"],
            ["Show the rollout of one model", "basilwing rollout status large"],
        ],
    });

    model = Option.String({ required: false, name: "model" });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const outcome = await client.send({ method: "GET", path: "/v1/rollouts" });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const { rollouts } = outcome.body as RolloutsResponse;
        const shown = rollouts.filter(rollout => this.model === undefined || rollout.model === this.model);
        if (this.model !== undefined && shown.length === 0) {
            this.context.stderr.write(`The model ${this.model} has no rollout\n`);
            return ExitCode.Invalid;
        }
        if (this.isJson) {
            this.printJson({ rollouts: shown });
        }
        else {
            this.printRollouts(shown);
        }
        return shown.some(rollout => rollout.state === "failed") ? ExitCode.Failure : ExitCode.Success;
    }

    private printRollouts(rollouts: readonly RolloutJson[]): void {
        const head = ["model", "version", "state", "by", "canary", "steps done", "failed", "on their way", "reason"];
        this.printLine(formatTable(head, rollouts.map(getRow)));
    }
}

/** Gets the table cells of a rollout. */
function getRow(rollout: RolloutJson): readonly string[] {
    const { model, version, state, author, succeededSteps, failedSteps, openSteps, size, reason } = rollout;
    const steps = openSteps.map(step => `${step.companion} (${step.phase})`).join(", ");
    const canary = rollout.hasCanaryPassed ? "passed" : "open";
    return [model, version, state, author, canary, `${succeededSteps} at ${size}`, String(failedSteps), steps, reason];
}
