/*
 * Tells the statuses that HTTP defines from those of a server in trouble, which the HTTP library passes on.
 */

const minimumFinalStatus = 200;
const maximumFinalStatus = 599;

/**
 * Gets the reason why a response can't be used because of its status; undefined where it can.
 * @param status - The status of a response that is not informational.
 */
export function getStatusProblem(status: number): string | undefined {
    return status >= minimumFinalStatus && status <= maximumFinalStatus
        ? undefined
        : `status ${status} is not a status of a final response`;
}
