/*
 * Lets requests fail whose responses can't be used: clients take a status that they don't know for a refusal or a success,
 * and the HTTP library takes a reset for the end of a response that has neither a length nor chunks. A reset of another
 * watched connection at the same time counts as well.
 */
import { Dispatcher } from "undici";
import { getStatusProblem } from "./getStatusProblem";
import { ResetCounter } from "./ResetCounter";

const minimumInformationalStatus = 100;
const minimumFinalStatus = 200;

/**
 * Creates an interceptor for undici's dispatchers, after which a response with an invalid status or without its end is an error.
 * @param resets - Watches the dispatcher's connections.
 */
export function rejectInvalidResponses(resets: ResetCounter): Dispatcher.DispatcherComposeInterceptor {
    return dispatch => (options, handler) => dispatch(options, createCheckingHandler(handler, resets));
}

function createCheckingHandler(
    handler: Dispatcher.DispatchHandler,
    resets: ResetCounter,
): Dispatcher.DispatchHandler {
    let endsWithConnection = false;
    let formerResetCount = 0;
    return {
        onRequestStart: (...parameters) => handler.onRequestStart?.(...parameters),
        onRequestUpgrade: (...parameters) => handler.onRequestUpgrade?.(...parameters),
        onResponseStart,
        onResponseData: (...parameters) => handler.onResponseData?.(...parameters),
        onResponseEnd,
        onResponseError: (...parameters) => handler.onResponseError?.(...parameters),
    };

    function onResponseStart(
        ...[controller, status, headers, ...rest]: Parameters<
            NonNullable<Dispatcher.DispatchHandler["onResponseStart"]>
        >
    ): void {
        const isInformational = status >= minimumInformationalStatus && status < minimumFinalStatus;
        const problem = isInformational ? undefined : getStatusProblem(status);
        if (problem !== undefined) {
            controller.abort(new Error(problem));
            return;
        }
        endsWithConnection = headers["content-length"] === undefined && headers["transfer-encoding"] === undefined;
        formerResetCount = resets.getCount();
        handler.onResponseStart?.(controller, status, headers, ...rest);
    }

    function onResponseEnd(
        ...[controller, trailers]: Parameters<NonNullable<Dispatcher.DispatchHandler["onResponseEnd"]>>
    ): void {
        if (endsWithConnection && resets.getCount() > formerResetCount) {
            handler.onResponseError?.(controller, new Error("the connection was reset before the end of the response"));
            return;
        }
        handler.onResponseEnd?.(controller, trailers);
    }
}
