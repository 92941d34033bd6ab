/*
 * Creates the JSON bodies of refusals.
 */
import { RefusalReason } from "../protocol";
import { getRefusalStatus } from "./getRefusalStatus";
import { Refusal } from "./Refusal";

/** The JSON format of a refusal. */
interface RefusalBody {
    error: { type: string; code: string; message: string; requestId: string; };
}

/**
 * Gets the JSON body of a refusal.
 * @param refusal - The refusal.
 * @param requestId - The id that identifies the request in the logs.
 */
export function getRefusalBody(refusal: Refusal, requestId: string): RefusalBody {
    const status = getRefusalStatus(refusal.reason);
    return {
        error: {
            type: status < 500 ? "invalid_request_error" : "service_error",
            code: RefusalReason[refusal.reason].toLowerCase(),
            message: refusal.message,
            requestId,
        },
    };
}
