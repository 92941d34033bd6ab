/*
 * Sends unary calls of the Connect protocol over an HTTP/2 connection. The library's transport serves all its protocols, and
 * so builds iterables, abort controllers and fetch headers for each call, which took most of the processor time of a call.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, type Transport } from "@connectrpc/connect";
import { compressionBrotli, compressionGzip } from "@connectrpc/connect-node";
import {
    errorFromJsonBytes,
    trailerDemux,
    validateResponseWithCompression,
} from "@connectrpc/connect/protocol-connect";
import { ClientHttp2Stream, constants, IncomingHttpHeaders, OutgoingHttpHeaders } from "node:http2";
import { getErrorMessage } from "../errors";
import { getResetError } from "./getResetError";
import { getStreamError } from "./getStreamError";
import { PeerConnection } from "./PeerConnection";

const acceptedCompressions = [compressionGzip, compressionBrotli];
const acceptedEncodings = acceptedCompressions.map(({ name }) => name).join(",");
const okStatus = 200;
const maximumMessageBytes = 0xff_ff_ff_ff;

/** The part of a call's timeout after which a call without a response has the connection checked. */
const checkShare = 0.5;

/** The response to a call, as it came. */
interface RawResponse {
    headers: IncomingHttpHeaders;
    body: Uint8Array;
}

/** The request of a call. */
interface RawRequest {
    path: string;
    headers: OutgoingHttpHeaders;
    body: Uint8Array;
    signal: AbortSignal | undefined;
    timeoutMilliseconds: number | undefined;
}

/**
 * Creates the part of a transport that sends unary calls. Calls fail with the error codes of the library's transport, but see
 * `getResetError`.
 * @param manager - Opens the streams of the connection.
 * @param checkConnection - Called when half of a call's timeout has passed without a response.
 */
export function createUnaryCaller(
    manager: PeerConnection["manager"],
    checkConnection: () => void = () => undefined,
): Transport["unary"] {
    return async (method, signal, timeoutMs, header, input) => {
        const timeoutMilliseconds = timeoutMs !== undefined && timeoutMs > 0 ? timeoutMs : undefined;
        const response = await send({
            path: `/${method.parent.typeName}/${method.name}`,
            headers: getRequestHeaders(timeoutMilliseconds, header),
            body: toBinary(method.input, create(method.input, input)),
            signal,
            timeoutMilliseconds,
        });
        const { headers } = response;
        const isPlain = Number(headers[":status"]) === okStatus && headers["content-type"] === "application/proto"
            && headers["content-encoding"] === undefined;
        const body = isPlain ? response.body : await readOtherBody(response);
        return {
            stream: false,
            service: method.parent,
            method,
            get header() {
                return trailerDemux(getFetchHeaders(headers))[0];
            },
            get trailer() {
                return trailerDemux(getFetchHeaders(headers))[1];
            },
            message: parse(() => fromBinary(method.output, body)),
        };
    };

    function send(request: RawRequest): Promise<RawResponse> {
        const { path, headers, body, signal, timeoutMilliseconds } = request;
        return new Promise((resolve, reject) => {
            let isSettled = false;
            let stream: ClientHttp2Stream | undefined;
            let responseHeaders: IncomingHttpHeaders | undefined;
            const chunks: Buffer[] = [];
            let timer = timeoutMilliseconds === undefined
                ? undefined
                : setTimeout(checkLateCall, checkShare * timeoutMilliseconds, (1 - checkShare) * timeoutMilliseconds);
            if (signal?.aborted) {
                abort();
                return;
            }
            signal?.addEventListener("abort", abort);
            manager.request("POST", path, headers, {}).then(start, fail);

            function checkLateCall(remainingMilliseconds: number): void {
                timer = setTimeout(
                    () => fail(new ConnectError("the operation timed out", Code.DeadlineExceeded)),
                    remainingMilliseconds,
                );
                checkConnection();
            }

            function start(opened: ClientHttp2Stream): void {
                stream = opened;
                stream.on("error", fail);
                if (isSettled) {
                    stream.close(constants.NGHTTP2_CANCEL);
                    return;
                }
                stream.on("response", received => responseHeaders = received);
                stream.on("data", (chunk: Buffer) => {
                    chunks.push(chunk);
                    manager.notifyResponseByteRead(opened);
                });
                stream.on("end", () => finish(opened));
                stream.on("close", () => fail(getResetError(opened.rstCode)));
                stream.end(body);
            }

            function finish(ended: ClientHttp2Stream): void {
                manager.notifyResponseByteRead(ended);
                // A stream that the peer resets ends as if it were complete.
                if (ended.aborted || ended.rstCode !== constants.NGHTTP2_NO_ERROR || !responseHeaders) {
                    fail(getResetError(ended.rstCode));
                    return;
                }
                const received = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
                const statedBytes = responseHeaders["content-length"];
                if (statedBytes !== undefined && Number(statedBytes) !== received.length) {
                    fail(new ConnectError(`got ${received.length} of ${statedBytes} bytes`, Code.DataLoss));
                    return;
                }
                settle();
                resolve({ headers: responseHeaders, body: received });
            }

            function abort(): void {
                fail(ConnectError.from(signal?.reason, Code.Canceled));
            }

            function fail(reason: unknown): void {
                if (isSettled) {
                    return;
                }
                settle();
                const error = getStreamError(reason);
                if (stream && !stream.closed) {
                    const isCancelled = error.code === Code.Canceled;
                    stream.close(isCancelled ? constants.NGHTTP2_CANCEL : constants.NGHTTP2_INTERNAL_ERROR);
                }
                reject(error);
            }

            function settle(): void {
                isSettled = true;
                clearTimeout(timer);
                signal?.removeEventListener("abort", abort);
            }
        });
    }
}

function getRequestHeaders(
    timeoutMilliseconds: number | undefined,
    header: Parameters<Transport["unary"]>[3],
): OutgoingHttpHeaders {
    return {
        ...header && Object.fromEntries(new Headers(header)),
        "content-type": "application/proto",
        "connect-protocol-version": "1",
        "accept-encoding": acceptedEncodings,
        ...timeoutMilliseconds !== undefined && { "connect-timeout-ms": String(timeoutMilliseconds) },
    };
}

/** Reads a response that is an error or compressed. */
async function readOtherBody({ headers, body }: RawResponse): Promise<Uint8Array> {
    const fetchHeaders = getFetchHeaders(headers);
    const status = Number(headers[":status"]);
    const { compression, unaryError } = validateResponseWithCompression(
        "unary",
        acceptedCompressions,
        true,
        status,
        fetchHeaders,
    );
    const content = compression ? await compression.decompress(body, maximumMessageBytes) : body;
    if (unaryError) {
        throw errorFromJsonBytes(content, fetchHeaders, unaryError);
    }
    return content;
}

function getFetchHeaders(headers: IncomingHttpHeaders): Headers {
    const fields = Object.entries(headers).filter(([name]) => !name.startsWith(":"));
    return new Headers(fields.map(([name, value]): [string, string] => [name, String(value)]));
}

/** Parses a message; bytes that are none fail the call as with the library's transport. */
function parse<T>(parseMessage: () => T): T {
    try {
        return parseMessage();
    }
    catch (thrown) {
        throw new ConnectError(`parse binary: ${getErrorMessage(thrown)}`, Code.Internal);
    }
}
