/*
 * Admits a request that resumes a stream: it goes to the service and the software version that began the stream. Events
 * of two versions don't fit together, and backend servers don't check this. A caller that doesn't name the request that
 * began the stream is served only while its service has a single version. An entry process that has been without contact
 * may not have heard of a version that has begun streams since, so that the leader has to confirm this first.
 */
import { RouteKind } from "../documents";
import { FeedState } from "../feed";
import { RefusalReason } from "../protocol";
import { Clock, waitWithTimeout } from "../runtime";
import { StreamOrigins } from "../streamOrigins";
import { Admission } from "./Admission";
import { ForwardedRequest } from "./ForwardedRequest";
import { Refusal } from "./Refusal";

type Admitted = Extract<Admission, { kind: "admitted"; }>;

/** What the admission of a resumption depends on. */
interface ResumptionOptions {
    /** Finds the origin of the stream. */
    streamOrigins: StreamOrigins;
    /** Provides the versions of the backend servers. */
    state: Pick<FeedState, "getSoftwareVersions" | "confirmFleet">;
    /** The clock. */
    clock: Clock;
    /** Aborted once the request is to be answered with what is known of it. */
    signal: AbortSignal;
}

/** The retry delay of a refused resumption: an origin that is not found now is hardly found later. */
const retryAfterMilliseconds = 1_000;
/** How long the leader may take to confirm the versions, in milliseconds: several round trips within a region. */
const confirmationMilliseconds = 500;
/**
 * The maximum age of the fleet view for a stream whose version is known, in milliseconds: more than between two polls. A
 * backend server may have started again with another version since.
 */
const maximumConfirmationAgeMilliseconds = 1_000;

/**
 * Replaces the service of an admitted request that resumes a stream by that which began it, with its software version.
 * All other requests keep their admission.
 * @param request - The request.
 * @param admission - Its admission as that of a new request.
 * @param options - What the admission depends on.
 */
export async function admitResumption(
    request: ForwardedRequest,
    admission: Admitted,
    options: ResumptionOptions,
): Promise<Admission> {
    if (admission.route.kind !== RouteKind.Stream || request.lastEventId === undefined) {
        return admission;
    }
    const { clock, signal } = options;
    return await waitWithTimeout(clock, findOrigin(request, admission, options), Infinity, signal)
        ?? refuse(RefusalReason.DEADLINE);
}

/** Replaces the service of an admitted resumption by that which began the stream. */
async function findOrigin(
    { resumedRequestId }: ForwardedRequest,
    admission: Admitted,
    { streamOrigins, state }: ResumptionOptions,
): Promise<Admission> {
    const { route, service: admittedService, table } = admission;
    if (resumedRequestId === undefined) {
        const softwareVersion = await findOnlySoftwareVersion(state, admittedService.name);
        return softwareVersion === undefined
            ? refuse(RefusalReason.STREAM_ORIGIN_UNKNOWN)
            : { ...admission, softwareVersion };
    }
    const origin = await streamOrigins.find(resumedRequestId);
    if (!origin) {
        return refuse(RefusalReason.STREAM_ORIGIN_UNKNOWN);
    }
    if (!await state.confirmFleet(confirmationMilliseconds, maximumConfirmationAgeMilliseconds)) {
        return refuse(RefusalReason.STALE_SETTINGS);
    }
    const isServiceOfRoute = route.services.some(({ service }) => service === origin.service);
    const service = isServiceOfRoute ? table.getService(origin.service) : undefined;
    if (!service || service.kind === "keptCache") {
        return refuse(RefusalReason.NO_REPLICA);
    }
    return { ...admission, service, softwareVersion: origin.softwareVersion };
}

function refuse(reason: RefusalReason): Admission {
    const refusal: Refusal = { kind: "notRun", reason, retryAfterMilliseconds };
    return { kind: "refused", refusal };
}

/** Finds the software version that all backend servers of a service have; undefined where it is not certain. */
async function findOnlySoftwareVersion(
    state: Pick<FeedState, "getSoftwareVersions" | "confirmFleet">,
    service: string,
): Promise<string | undefined> {
    if (state.getSoftwareVersions(service).length !== 1 || !await state.confirmFleet(confirmationMilliseconds)) {
        return undefined;
    }
    const [version, ...others] = state.getSoftwareVersions(service);
    return others.length === 0 && version !== "" ? version : undefined;
}
