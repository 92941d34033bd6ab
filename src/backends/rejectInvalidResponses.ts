/*
 * Lets requests fail whose responses can't be used: clients take a status that they don't know for a refusal or a success.
 */
import { Dispatcher } from "undici";
import { getStatusProblem } from "./getStatusProblem";

const minimumInformationalStatus = 100;
const minimumFinalStatus = 200;

/** Creates an interceptor for undici's dispatchers, after which a response with an invalid status is an error. */
export function rejectInvalidResponses(): Dispatcher.DispatcherComposeInterceptor {
    return dispatch => (options, handler) => dispatch(options, createCheckingHandler(handler));
}

function createCheckingHandler(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
    return {
        onRequestStart: (...parameters) => handler.onRequestStart?.(...parameters),
        onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
        onResponseStart,
        onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
        onResponseEnd: (...parameters) => handler.onResponseEnd?.(...parameters),
        onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
    };

    function onResponseStart(
        ...[controller, status, ...rest]: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>>
    ): void {
        const isInformational = status >= minimumInformationalStatus && status < minimumFinalStatus;
        const problem = isInformational ? undefined : getStatusProblem(status);
        if (problem !== undefined) {
            controller.abort(new Error(problem));
            return;
        }
        handler.onResponseStart?.(controller, status, ...rest);
    }
}
