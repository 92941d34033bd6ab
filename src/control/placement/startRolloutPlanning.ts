/*
 * Plans rollouts on a control member while it is the leader.
 */
import { create } from "@bufbuild/protobuf";
import { Order, SessionEventSchema } from "../../protocol";
import { Stoppable } from "../../runtime";
import { createRolloutPlanner } from "./createRolloutPlanner";
import { getRolloutTargets } from "./getRolloutTargets";
import { RolloutPlanningOptions } from "./RolloutPlanningOptions";

/**
 * Follows the leadership of a control member and runs a rollout planner while it is the leader.
 * @param options - The parts of the control member that planning depends on.
 */
export function startRolloutPlanning(options: RolloutPlanningOptions): Stoppable {
    const { rollouts, configuration, distribution, client, clock, logger, timing } = options;
    let targets = getRolloutTargets(configuration);
    const planner = createRolloutPlanner({
        rollouts,
        getTargets: () => targets,
        directory: distribution.directory,
        control: client,
        sendOrder: order => void sendOrder(order),
        clock,
        logger,
        timing,
    });
    let lastTransition = Promise.resolve();
    const removeLeadershipListener = distribution.leadership.addListener(applyLeadership);
    const removeConfigurationListener = configuration.addListener(() => targets = getRolloutTargets(configuration));
    applyLeadership();
    return { stop };

    /** Starts or stops the planner after the previous transition has finished. */
    function applyLeadership(): void {
        lastTransition = lastTransition.then(async () => {
            if (distribution.leadership.isAssured()) {
                planner.start();
            }
            else {
                await planner.stop();
            }
        });
    }

    async function sendOrder(order: Order): Promise<void> {
        const event = create(SessionEventSchema, { event: { case: "order", value: order } });
        await distribution.sendEvent(order.companion, event);
    }

    async function stop(): Promise<void> {
        removeLeadershipListener();
        removeConfigurationListener();
        await lastTransition;
        await planner.stop();
    }
}
