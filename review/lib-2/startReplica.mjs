/*
 * A sound replica of an application service, which answers each request after a given time.
 */
import { createServer } from "node:http";

/**
 * Starts a replica.
 * @param deployment - The deployment, to whose list the replica is added.
 * @param options.number - The last number of its address.
 * @param options.service - Its service.
 * @param options.onRun - Called with each request that it runs and its body; returns the answer's body and delay.
 */
export async function startReplica(deployment, { number, service, slots = 6, port = 8_080, onRun }) {
    const id = `i-${service}-${number}`;
    const address = `${deployment.network}.${number}:${port}`;
    const born = Date.now();
    const server = createServer({ requestTimeout: 0, keepAliveTimeout: 30_000 }, (request, response) => {
        const parts = [];
        request.on("data", part => parts.push(part));
        request.on("end", () => handle(request, response, Buffer.concat(parts)));
    });
    await new Promise(resolve => server.listen(port, `${deployment.network}.${number}`, resolve));
    deployment.instances.push(() => ({
        id,
        service,
        address,
        zone: "ie-a",
        version: "v1",
        slots,
        state: "ready",
        cold_remaining_ms: 0,
        born,
    }));
    return {
        id,
        address,
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };

    function handle(request, response, body) {
        if (request.url === "/health") {
            response.writeHead(200, { "content-length": 0, "basilwing-instance-id": id });
            response.end();
            return;
        }
        const requestId = request.headers["basilwing-request-id"] ?? "";
        if (request.headers["basilwing-expect-instance"] !== id) {
            response.writeHead(421, { "basilwing-request-id": requestId, "content-length": 0 });
            response.end();
            return;
        }
        const { bytes = Buffer.from("done"), milliseconds = 0 } = onRun(request, body) ?? {};
        setTimeout(() => {
            response.writeHead(200, {
                "basilwing-request-id": requestId,
                "basilwing-response-seal": `${id}.${requestId}`,
                "content-length": bytes.length,
            });
            response.end(bytes);
        }, milliseconds);
    }
}
