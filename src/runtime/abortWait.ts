/*
 * Ends waits that nobody needs to go on.
 */

/** The reason of all ended waits; without one, each abort creates an exception with a stack trace, which costs more than the wait. */
const waitEnded = "the wait has ended";

/**
 * Aborts a controller whose signal only ends waits of a clock or removes listeners, and whose reason nobody reads.
 * @param controller - The controller.
 */
export function abortWait(controller: AbortController): void {
    controller.abort(waitEnded);
}
