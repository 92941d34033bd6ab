/*
 * The `rollout pause` command, which pauses a rollout.
 */
import { Command } from "clipanion";
import { RolloutControlCommand } from "./RolloutControlCommand";

/** Pauses a model's rollout: loads in progress finish, and no further step starts. */
export class RolloutPauseCommand extends RolloutControlCommand {
    static override paths = [["rollout", "pause"]];

    static override usage = Command.Usage({
        category: "Rollouts",
        description: "Pause a model's rollout; loads in progress finish, and no further step starts.",
        details: "Exit codes: 0 paused, 2 the model has no rollout, 4 no control member answered.",
        examples: [["Pause the rollout of a model", "basilwing rollout pause large"]],
    });

    protected readonly requestPath = "/v1/rollouts/pause";

    protected readonly successText = "paused";
}
