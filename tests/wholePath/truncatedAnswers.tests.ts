import { expect } from "chai";
import { request as sendRequest } from "node:http";
import type { Socket } from "node:net";
import { answerFaults } from "../platform/answerFaults";
import { startPartServer } from "../platform/startPartServer";
import { startTestDeployment, TestDeployment, testKey } from "./startTestDeployment";

describe("an entry process of the product, with answers of a service that are no whole answers", () => {
    const uploadBytes = 900_000;
    const body = "answer ".repeat(20);
    const faults = Object.entries(answerFaults);

    let deployment: TestDeployment | undefined;
    let servers: Awaited<ReturnType<typeof startPartServer>>[] = [];
    let callCount = 0;
    let respondFirst: (socket: Socket, fields: string) => void = () => undefined;

    before(async () => {
        servers = await Promise.all([0, 1].map(() => startPartServer(respondEarly, respond)));
        deployment = await startTestDeployment(0, undefined, servers.map(({ address }) => `http://${address}`));
    });
    beforeEach(() => callCount = 0);
    after(async () => {
        await deployment?.stop();
        await Promise.all(servers.map(server => server.stop()));
    });

    function respondEarly(socket: Socket, head: string): boolean {
        if (head.startsWith("GET /health")) {
            return false;
        }
        callCount += 1;
        if (callCount === 1) {
            respondFirst(socket, getFields(head));
        }
        return callCount === 1;
    }

    function respond(socket: Socket, head: string): void {
        const text = head.startsWith("GET /health") ? `{"incarnation":"1"}` : body;
        socket.end(`HTTP/1.1 200 OK\r\n${getFields(head)}Content-Length: ${text.length}\r\n\r\n${text}`);
    }

    function getFields(head: string): string {
        const [, requestId = ""] = /^x-request-id: (\S+)/im.exec(head) ?? [];
        return requestId === "" ? "" : `X-Request-Id: ${requestId}\r\n`;
    }

    /** Calls the service; returns the status, the body, and whether it is whole for the caller. */
    function call(method: string, path: string, bodyBytes: number) {
        return new Promise<{ status: number | undefined; text: string; isWhole: boolean; }>(resolve => {
            const request = sendRequest(`http://${deployment!.entry.address}${path}`, {
                method,
                agent: false,
                headers: { "Authorization": `Bearer ${testKey}`, "Content-Length": bodyBytes },
            });
            request.on("error", () => resolve({ status: undefined, text: "", isWhole: false }));
            request.on("response", response => {
                let text = "";
                response.on("data", (data: Buffer) => text += data.toString());
                response.on("error", () => undefined);
                response.on("close", () => resolve({ status: response.statusCode, text, isWhole: response.complete }));
            });
            request.end(Buffer.alloc(bodyBytes, "x"));
        });
    }

    it("passes whole answers on", async () => {
        respondFirst = (socket, fields) => {
            socket.write(`HTTP/1.1 200 OK\r\n${fields}Content-Length: ${body.length}\r\n\r\n${body}`);
            socket.resume();
        };
        expect(await call("POST", "/services/lockers/report", uploadBytes))
            .to.deep.equal({ status: 200, text: body, isWhole: true });
    });

    for (const [fault, send] of faults) {
        for (
            const [name, method, path, bodyBytes] of [
                ["an upload", "POST", "/services/lockers/report", uploadBytes],
                ["a request without a body", "GET", "/services/lockers/status?key=1", 0],
            ] as const
        ) {
            it(`passes no answer with ${fault} on as whole, to ${name}`, async () => {
                respondFirst = (socket, fields) => send(socket, { statusLine: "200 OK", fields, body });
                const { status, text, isWhole } = await call(method, path, bodyBytes);
                const isRepeated = callCount > 1 && status === 200 && text === body;
                expect(isWhole && status !== 502 && !isRepeated).to.equal(false);
            });
        }
    }
});
