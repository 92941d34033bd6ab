/*
 * Maps reset codes of HTTP/2 streams to the error codes of the library's transport. Node.js reports every reset but CANCEL and
 * NO_ERROR as an error, which the library maps to Internal. At a stream that ends with NO_ERROR and without a response the
 * library waits until the deadline of the call; such a call fails here at once.
 */
import { Code, ConnectError } from "@connectrpc/connect";
import { constants } from "node:http2";

/**
 * Gets the error of a call whose stream ended without a complete response.
 * @param resetCode - The reset code of the stream.
 */
export function getResetError(resetCode: number | undefined): ConnectError {
    return new ConnectError(`the stream ended without a response, reset code ${resetCode}`, getCode(resetCode));
}

function getCode(resetCode: number | undefined): Code {
    switch (resetCode) {
        case undefined:
        case constants.NGHTTP2_NO_ERROR:
            return Code.Unavailable;
        case constants.NGHTTP2_CANCEL:
            return Code.Canceled;
        default:
            return Code.Internal;
    }
}
