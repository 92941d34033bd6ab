/*
 * The `rollout resume` command, which resumes a rollout.
 */
import { Command } from "clipanion";
import { RolloutControlCommand } from "./RolloutControlCommand";

/** Resumes a model's rollout that was paused or has failed. */
export class RolloutResumeCommand extends RolloutControlCommand {
    static override paths = [["rollout", "resume"]];

    static override usage = Command.Usage({
        category: "Rollouts",
        description: "Resume a model's rollout that was paused or has failed.",
        details: "Exit codes: 0 resumed, 2 the model has no rollout, 4 no control member answered.",
        examples: [["Resume the rollout of a model", "basilwing rollout resume large"]],
    });

    protected readonly requestPath = "/v1/rollouts/resume";

    protected readonly successText = "resumed";
}
