/*
 * Serves unary calls of the Connect protocol in its binary format without what the library builds for each call: several fetch
 * headers, abort controllers and iterables, which took most of the processor time of a call. All other requests, among them
 * streams, compressed requests and other protocols, are left to the library.
 */
import { create, DescMethod, fromBinary, Message, toBinary } from "@bufbuild/protobuf";
import {
    Code,
    ConnectError,
    type ConnectRouter,
    type ContextValues,
    type Interceptor,
    type UnaryRequest,
    type UnaryResponse,
} from "@connectrpc/connect";
import { compressionGzip } from "@connectrpc/connect-node";
import { codeToHttpStatus, errorToJsonBytes } from "@connectrpc/connect/protocol-connect";
import { constants, type Http2ServerRequest, type Http2ServerResponse } from "node:http2";
import { detach } from "../runtime";
import { getServiceLimits } from "./getServiceLimits";

const okStatus = 200;
/** The size of the library, below which a response is not compressed. */
const minimumCompressedBytes = 1_024;
const protoType = "application/proto";

/** Headers that the metadata of an error must not set: those of the encoding, and those that HTTP/2 forbids. */
const framingHeaders = [
    "connection",
    "content-encoding",
    "http2-settings",
    "keep-alive",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/** The forms of `connect-timeout-ms` that need no error; the library's handlers don't end a call at it either. */
const timeoutPattern = /^\d{1,10}$/;

type Implementation = (message: Message) => Promise<Message> | Message;
type Handle = (request: Http2ServerRequest, response: Http2ServerResponse) => void;
type Invoke = (request: UnaryRequest) => Promise<UnaryResponse>;

/** A unary method that is served here. */
interface ServedMethod {
    method: DescMethod & { methodKind: "unary"; };
    maximumMessageBytes: number;
    invoke: Invoke;
}

interface UnaryHandlerOptions {
    /** Handles all other requests. */
    otherwise: Handle;
    /** The interceptors of all calls, the outermost first. */
    interceptors: readonly Interceptor[];
    /** Gets the context values of a request. */
    getContextValues(request: Http2ServerRequest): ContextValues;
}

/** The handler of a listener. */
interface UnaryHandler {
    /** Handles a request. */
    handle: Handle;
    /** Wraps a router, so that the unary methods of services added to it are served here. */
    wrapRouter(router: ConnectRouter): ConnectRouter;
}

/**
 * Creates the handler of a listener.
 * @param options - The interceptors, and what handles other requests.
 */
export function createUnaryHandler({ otherwise, interceptors, getContextValues }: UnaryHandlerOptions): UnaryHandler {
    const methods = new Map<string, ServedMethod>();
    const neverAborted = new AbortController().signal;
    const emptyHeaders = new Headers();
    return { handle, wrapRouter };

    function wrapRouter(router: ConnectRouter): ConnectRouter {
        const wrapped: ConnectRouter = {
            handlers: router.handlers,
            service: (service, implementation, options) => {
                for (const method of service.methods) {
                    const implement = (implementation as Record<string, unknown>)[method.localName];
                    // An implementation that takes a context is served by the library, which creates one.
                    if (method.methodKind === "unary" && typeof implement === "function" && implement.length < 2) {
                        addMethod(method as ServedMethod["method"], implement.bind(implementation) as Implementation);
                    }
                }
                router.service(service, implementation, options);
                return wrapped;
            },
            rpc: router.rpc,
        };
        return wrapped;
    }

    function handle(request: Http2ServerRequest, response: Http2ServerResponse): void {
        const served = methods.get(request.url);
        if (served && isServedHere(request)) {
            detach(serve(served, request, response));
            return;
        }
        otherwise(request, response);
    }

    async function serve(
        served: ServedMethod,
        request: Http2ServerRequest,
        response: Http2ServerResponse,
    ): Promise<void> {
        const body = await readBody(request, served.maximumMessageBytes);
        if (body === undefined) {
            return;
        }
        try {
            if (body.length > served.maximumMessageBytes) {
                throw new ConnectError(
                    `message size is larger than configured readMaxBytes ${served.maximumMessageBytes}`,
                    Code.ResourceExhausted,
                );
            }
            const { message } = await served.invoke({
                stream: false,
                service: served.method.parent,
                method: served.method,
                requestMethod: "POST",
                url: request.url,
                header: emptyHeaders,
                contextValues: getContextValues(request),
                signal: neverAborted,
                message: fromBinary(served.method.input, body),
            });
            await sendMessage(request, response, toBinary(served.method.output, message as Message));
        }
        catch (thrown) {
            sendError(response, thrown);
        }
    }

    function addMethod(method: ServedMethod["method"], implement: Implementation): void {
        const { parent: service } = method;
        const call: Invoke = async request => ({
            stream: false,
            service,
            method,
            header: emptyHeaders,
            trailer: emptyHeaders,
            message: create(method.output, await implement(request.message)),
        });
        methods.set(`/${service.typeName}/${method.name}`, {
            method,
            maximumMessageBytes: getServiceLimits(service).maximumMessageBytes,
            invoke: interceptors.reduceRight<Invoke>(
                (next, interceptor) => interceptor(next as Parameters<Interceptor>[0]) as Invoke,
                call,
            ),
        });
    }
}

function isServedHere({ method, headers }: Http2ServerRequest): boolean {
    const timeout = headers["connect-timeout-ms"];
    return method === "POST" && headers["content-type"] === protoType && headers["content-encoding"] === undefined
        && (timeout === undefined || timeoutPattern.test(String(timeout)));
}

/** Reads the body until it is complete or over the limit; undefined where the caller has left before. */
function readBody(request: Http2ServerRequest, maximumBytes: number): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let byteCount = 0;
    return new Promise(resolve => {
        request.on("data", (chunk: Buffer) => {
            byteCount += chunk.length;
            // What follows is read and dropped, so that the caller gets to read the error.
            if (byteCount - chunk.length <= maximumBytes) {
                chunks.push(chunk);
            }
            if (byteCount > maximumBytes) {
                resolve(Buffer.concat(chunks));
            }
        });
        request.on("end", () => resolve(Buffer.concat(chunks)));
        request.on("error", () => resolve(undefined));
        request.on("close", () => resolve(undefined));
        request.on("aborted", () => resolve(undefined));
    });
}

async function sendMessage(
    { headers }: Http2ServerRequest,
    response: Http2ServerResponse,
    message: Uint8Array,
): Promise<void> {
    const accepted = String(headers["accept-encoding"] ?? "").split(",").map(name => name.trim());
    const isCompressed = message.length >= minimumCompressedBytes && accepted.includes(compressionGzip.name);
    const body = isCompressed ? await compressionGzip.compress(message) : message;
    response.writeHead(okStatus, {
        "content-type": protoType,
        "content-length": body.length,
        ...isCompressed && { "content-encoding": compressionGzip.name },
    });
    response.end(body);
}

function sendError(response: Http2ServerResponse, thrown: unknown): void {
    const error = thrown instanceof ConnectError
        ? thrown
        : new ConnectError("internal error", Code.Internal, undefined, undefined, thrown);
    try {
        const body = errorToJsonBytes(error, {});
        const metadata = [...error.metadata].filter(([name]) => !framingHeaders.includes(name));
        response.writeHead(codeToHttpStatus(error.code), {
            ...Object.fromEntries(metadata),
            "content-type": "application/json",
            "content-length": body.length,
        });
        response.end(body);
    }
    catch {
        // The metadata or the details can't be sent, or a part of the response has been sent.
        response.stream.close(constants.NGHTTP2_INTERNAL_ERROR);
    }
}
