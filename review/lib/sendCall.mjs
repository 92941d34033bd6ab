/*
 * A stand-in for a caller, which sends one request and waits for the end of its answer.
 */
import { request as sendRequest } from "node:http";

/**
 * Sends a request; resolves with the status, the seal, the body, and whether the channel had carried a request before.
 * The status is 0 where the channel ended without a whole answer.
 * @param address - The address of the entry process, as `ip:port`.
 * @param call - The method, host, path, headers and body, and the time that the caller waits, in milliseconds.
 */
export function sendCall(address, call) {
    const [host, port] = address.split(":");
    const { requestId, deadlineMilliseconds, body } = call;
    return new Promise(resolve => {
        const answer = {
            requestId,
            status: 0,
            seal: undefined,
            text: "",
            problem: undefined,
            isKept: false,
            hasBegun: false,
            isGivenUp: false,
        };
        const sent = sendRequest({
            host,
            port,
            agent: call.agent ?? false,
            method: call.method,
            path: call.path,
            headers: {
                "host": call.host,
                "basilwing-request-id": requestId,
                "basilwing-deadline-ms": deadlineMilliseconds,
                ...body === undefined ? {} : { "content-length": Buffer.byteLength(body) },
                ...call.headers,
            },
        }, response => {
            answer.hasBegun = true;
            response.setEncoding("utf8");
            response.on("data", chunk => answer.text += chunk);
            response.on("end", () => {
                answer.status = response.statusCode;
                answer.seal = response.headers["basilwing-response-seal"];
            });
            response.on("error", error => answer.problem = error.message);
            response.on("close", finish);
        });
        sent.on("socket", () => answer.isKept = sent.reusedSocket);
        const timer = setTimeout(() => {
            answer.isGivenUp = true;
            sent.destroy(new Error("the caller's time is over"));
        }, deadlineMilliseconds);
        sent.on("error", error => {
            answer.problem ??= error.message;
            finish();
        });
        sent.end(body);

        function finish() {
            clearTimeout(timer);
            resolve(answer);
        }
    });
}
