/*
 * Waits until the entry holds the settings that a sidecar has shown to be newer.
 */
import { RefusalReason } from "../../protocol";
import { AdmittedRequest } from "../AdmittedRequest";
import { EntryOptions } from "../EntryOptions";
import { getAdmissionProblem } from "../getAdmissionProblem";
import { RefusalText } from "../RefusalText";

const pollIntervalMilliseconds = 20;
const revisionTimeoutMilliseconds = 2_000;

/**
 * Waits for a revision, and checks the request against it.
 * @returns Why the request may no longer run; undefined where it may.
 */
export async function waitForRevision(
    options: EntryOptions,
    request: AdmittedRequest,
    revision: bigint,
    signal: AbortSignal,
): Promise<RefusalText | undefined> {
    const { clock, configuration } = options;
    const deadlineMilliseconds = clock.getMonotonicMilliseconds() + revisionTimeoutMilliseconds;
    while (configuration.getRevision() < revision && !signal.aborted) {
        if (clock.getMonotonicMilliseconds() >= deadlineMilliseconds) {
            const message = "This entry's settings are out of date.";
            const retryAfterMilliseconds = revisionTimeoutMilliseconds;
            return { reason: RefusalReason.STALE_SETTINGS, message, retryAfterMilliseconds };
        }
        await clock.sleep(pollIntervalMilliseconds, signal);
    }
    const message = getAdmissionProblem(configuration.getEffectiveSettings(request.subscriber.path), request.work);
    return message === undefined
        ? undefined
        : { reason: RefusalReason.NOT_ALLOWED, message, retryAfterMilliseconds: 0 };
}
