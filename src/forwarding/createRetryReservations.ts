/*
 * Reserves the retries of requests. A retry stays with its request until an attempt was sent: the backend server that was
 * chosen may turn out to be busy or unreachable, and the next choice needs no second retry from the budget.
 */
import { Metrics } from "../metrics";
import { ForwardingTask } from "./ForwardingTask";
import { RetryBudgets } from "./RetryBudgets";
import { RetryReservations } from "./RetryReservations";

/**
 * Creates the reservations of an entry process.
 * @param budgets - The budgets from which retries are taken.
 * @param metrics - Counts the retries that are sent, and those that the budgets refuse.
 */
export function createRetryReservations(
    budgets: Pick<RetryBudgets, "tryTakeRetry" | "giveBackRetry" | "getSavedRetries">,
    metrics: Pick<Metrics, "countSentRetry" | "countRefusedRetry">,
): RetryReservations {
    return { tryReserve, tryTake, recordSent, release };

    function tryReserve(task: ForwardingTask): boolean {
        task.hasReservedRetry ||= task.counts.sent > 0 && tryTake(task);
        return task.counts.sent === 0 || task.hasReservedRetry;
    }

    function tryTake(task: ForwardingTask): boolean {
        const service = task.admission.service.name;
        const isTaken = budgets.tryTakeRetry(service);
        if (!isTaken) {
            metrics.countRefusedRetry(service);
            const savedRetries = budgets.getSavedRetries(service);
            task.logger.info({ service, savedRetries, counts: task.counts }, "retry budget is used up");
        }
        return isTaken;
    }

    function recordSent(task: ForwardingTask): void {
        if (task.hasReservedRetry) {
            task.hasReservedRetry = false;
            metrics.countSentRetry(task.admission.service.name);
        }
    }

    function release(task: ForwardingTask): void {
        if (task.hasReservedRetry) {
            task.hasReservedRetry = false;
            budgets.giveBackRetry(task.admission.service.name);
        }
    }
}
