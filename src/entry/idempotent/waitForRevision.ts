/*
 * Waits until the entry process has received the newer configuration revision that a sidecar has reported.
 */
import { RefusalReason } from "../../protocol";
import { AdmittedRequest } from "../AdmittedRequest";
import { EntryOptions } from "../EntryOptions";
import { getPermissionProblem } from "../getPermissionProblem";
import { RefusalDetails } from "../RefusalDetails";

const pollIntervalMilliseconds = 20;
const revisionTimeoutMilliseconds = 2_000;

/**
 * Waits for a configuration revision, and checks the request against its settings.
 * @param options - The entry's options, of which the clock and the configuration are used.
 * @param request - The request to check.
 * @param revision - The revision that the sidecar has reported.
 * @param signal - Ends the wait.
 * @returns The refusal if the revision doesn't arrive within 2 seconds or doesn't allow the request; undefined otherwise.
 */
export async function waitForRevision(
    options: EntryOptions,
    request: AdmittedRequest,
    revision: bigint,
    signal: AbortSignal,
): Promise<RefusalDetails | undefined> {
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
    const message = getPermissionProblem(configuration.getEffectiveSettings(request.subscriber.path), request.work);
    return message === undefined
        ? undefined
        : { reason: RefusalReason.NOT_ALLOWED, message, retryAfterMilliseconds: 0 };
}
