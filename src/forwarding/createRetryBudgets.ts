/*
 * Divides a retry budget among the entry processes: each earns the same share of its own requests, and gets an equal
 * part of the common reserve. What a process has taken before it was started again, or while control did not count it, is
 * not known. So a contact with control begins with an empty budget, and gets its part of the reserve when it has lasted for
 * longer than the window in which retries are limited.
 */
import { createRetryBudget, RetryBudget } from "../limits";
import { RetryBudgets } from "./RetryBudgets";
import { RetryBudgetsOptions } from "./RetryBudgetsOptions";

/** The share of the budget that is used, so that the processes don't exceed it together while their number changes. */
const usedShare = 0.8;
/** How long a contact lasts until it gets its part of the reserve, in windows: the others learn of this process meanwhile. */
const windowsUntilReserve = 1.1;
/** The retries that a process without contact may save: the others divide the whole reserve among themselves. */
const maximumWithoutContact = 1;

/** The budget for one service during one contact with control. */
interface ContactBudget {
    budget: RetryBudget;
    /** When the contact began, on the monotonic clock; undefined before the first one. */
    startMilliseconds: number | undefined;
    takenRetries: number;
    hasReserve: boolean;
}

/**
 * Creates the budgets of an entry process.
 * @param options - The budget of all entry processes, and what it is divided by.
 */
export function createRetryBudgets(options: RetryBudgetsOptions): RetryBudgets {
    const { share, reserve, windowMilliseconds, state, clock } = options;
    const budgets = new Map<string, ContactBudget>();
    return {
        addFirstAttempt: service => getBudget(service).budget.addFirstAttempt(),
        tryTakeRetry,
        getSavedRetries: service => getBudget(service).budget.getSavedRetries(),
        getFewestSavedRetries,
        giveBackRetry,
    };

    function tryTakeRetry(service: string): boolean {
        const contactBudget = getBudget(service);
        const isTaken = contactBudget.budget.tryTakeRetry();
        contactBudget.takenRetries += Number(isTaken);
        return isTaken;
    }

    function giveBackRetry(service: string): void {
        const contactBudget = getBudget(service);
        contactBudget.budget.giveBackRetry();
        contactBudget.takenRetries -= 1;
    }

    function getFewestSavedRetries(): number {
        const savedRetries = [...budgets.keys()].map(service => getBudget(service).budget.getSavedRetries());
        return savedRetries.length === 0 ? 0 : Math.min(...savedRetries);
    }

    function getBudget(service: string): ContactBudget {
        const startMilliseconds = state.getContactStartMilliseconds();
        let contactBudget = budgets.get(service);
        if (
            !contactBudget || startMilliseconds !== undefined && startMilliseconds !== contactBudget.startMilliseconds
        ) {
            contactBudget = createContactBudget(startMilliseconds);
            budgets.set(service, contactBudget);
        }
        if (!contactBudget.hasReserve && hasLastedForReserve(startMilliseconds)) {
            contactBudget.hasReserve = true;
            contactBudget.budget.raiseTo(getMaximum() - contactBudget.takenRetries);
        }
        return contactBudget;
    }

    function createContactBudget(startMilliseconds: number | undefined): ContactBudget {
        const budget = createRetryBudget(usedShare * share, getMaximum, 0);
        return { budget, startMilliseconds, takenRetries: 0, hasReserve: false };
    }

    function hasLastedForReserve(startMilliseconds: number | undefined): boolean {
        return startMilliseconds !== undefined
            && clock.getMonotonicMilliseconds() - startMilliseconds >= windowsUntilReserve * windowMilliseconds;
    }

    function getMaximum(): number {
        const part = usedShare * reserve / state.getEntryCount();
        return state.getContactStartMilliseconds() === undefined ? Math.min(maximumWithoutContact, part) : part;
    }
}
