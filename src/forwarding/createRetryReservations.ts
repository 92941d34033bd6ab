/*
 * Reserves the retries of requests. A retry stays with its request until an attempt was sent: the backend server that was
 * chosen may turn out to be busy or unreachable, and the next choice needs no second retry from the budget.
 */
import { ForwardingTask } from "./ForwardingTask";
import { RetryBudgets } from "./RetryBudgets";
import { RetryReservations } from "./RetryReservations";

/**
 * Creates the reservations of an entry process.
 * @param budgets - The budgets from which retries are taken.
 */
export function createRetryReservations(
    budgets: Pick<RetryBudgets, "tryTakeRetry" | "giveBackRetry">,
): RetryReservations {
    return { tryReserve, recordSent: task => void (task.hasReservedRetry = false), release };

    function tryReserve(task: ForwardingTask): boolean {
        task.hasReservedRetry ||= task.counts.sent > 0 && budgets.tryTakeRetry(task.admission.service.name);
        return task.counts.sent === 0 || task.hasReservedRetry;
    }

    function release(task: ForwardingTask): void {
        if (task.hasReservedRetry) {
            task.hasReservedRetry = false;
            budgets.giveBackRetry(task.admission.service.name);
        }
    }
}
