/*
 * Admits a request that resumes a stream: it goes to the service and the software version that began the stream. Events
 * of two versions don't fit together, and backend servers don't check this. A caller that doesn't name the request that
 * began the stream is served only while its service has a single version.
 */
import { RouteKind } from "../documents";
import { FeedState } from "../feed";
import { FleetInstance, RefusalReason } from "../protocol";
import { StreamOrigins } from "../streamOrigins";
import { Admission } from "./Admission";
import { ForwardedRequest } from "./ForwardedRequest";
import { Refusal } from "./Refusal";

/** The retry delay of a refused resumption: an origin that is not found now is hardly found later. */
const retryAfterMilliseconds = 1_000;

/**
 * Replaces the service of an admitted request that resumes a stream by that which began it, with its software version.
 * All other requests keep their admission.
 * @param request - The request.
 * @param admission - Its admission as that of a new request.
 * @param streamOrigins - Finds the origin of the stream.
 * @param state - Provides the backend servers with their versions.
 */
export async function admitResumption(
    request: ForwardedRequest,
    admission: Admission,
    streamOrigins: StreamOrigins,
    state: Pick<FeedState, "getFleet">,
): Promise<Admission> {
    const { lastEventId, resumedRequestId } = request;
    if (admission.kind === "refused" || admission.route.kind !== RouteKind.Stream || lastEventId === undefined) {
        return admission;
    }
    const { route, service: admittedService, table } = admission;
    if (resumedRequestId === undefined) {
        const softwareVersion = getOnlySoftwareVersion(state.getFleet()?.instances ?? [], admittedService.name);
        return softwareVersion === undefined
            ? refuse(RefusalReason.STREAM_ORIGIN_UNKNOWN)
            : { ...admission, softwareVersion };
    }
    const origin = await streamOrigins.find(resumedRequestId);
    if (!origin) {
        return refuse(RefusalReason.STREAM_ORIGIN_UNKNOWN);
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

/** Gets the software version that all backend servers of a service have; undefined where they differ or one is unknown. */
function getOnlySoftwareVersion(instances: readonly FleetInstance[], service: string): string | undefined {
    const versions = new Set(
        instances.filter(instance => instance.service === service).map(instance => instance.softwareVersion),
    );
    const [version] = versions;
    return versions.size === 1 && version !== "" ? version : undefined;
}
