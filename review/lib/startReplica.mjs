/*
 * A stand-in for a replica. It runs the requests that name it, answers each with a seal and the request's id, and tells
 * whoever started it what it ran.
 */
import { createServer } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

/** How long new weights take a replica, in milliseconds. */
const loadMilliseconds = 760;

/**
 * Starts a replica.
 * @param options - Its address, id, service, model and software version, how long it works on a request, and a function
 * that is called with each request that it begins to run.
 */
export async function startReplica(options) {
    const { ip, service, model, workMilliseconds, onRun } = options;
    const getId = options.getId ?? (() => options.id);
    const slots = options.slots ?? 64;
    let orderCount = 0;
    let highestToken = 0;
    let weightsVersion = 1;
    let isLoading = false;
    let isDraining = false;
    let isDown = false;
    const server = createServer((request, response) => {
        response.on("error", () => undefined);
        void handle(request, response);
    });
    server.on("connection", socket => {
        if (isDown) {
            socket.resetAndDestroy();
        }
    });
    await new Promise(resolve => server.listen(0, ip, resolve));
    const address = `${ip}:${server.address().port}`;
    const firstBorn = Date.now();
    const getBorn = options.getBorn ?? (() => firstBorn);
    const getModels = () => model === undefined ? [] : [{ name: model, version: weightsVersion, adapters: [] }];
    return {
        address,
        getListEntry: () => ({
            id: getId(),
            service,
            address,
            zone: "zone-a",
            version: "v1",
            slots,
            state: isDraining ? "draining" : "ready",
            cold_remaining_ms: 0,
            born: getBorn(),
            stage: "unified",
            models: getModels(),
        }),
        getWeightsVersion: () => weightsVersion,
        drain: () => isDraining = true,
        /** Ends the replica: its channels are closed, and it takes no new ones. */
        end: () => {
            isDown = true;
            server.closeAllConnections();
        },
        /** Starts it again under its id, with the weights that it had; it knows nothing else of before. */
        startAgain: () => {
            isDown = false;
            isDraining = false;
            isLoading = false;
            orderCount = 0;
            highestToken = 0;
        },
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };

    /** Carries out an order to load weights as PROTOCOL.md describes it, and returns the status of the answer. */
    function acceptOrder({ version, fencing_token: token, expect }) {
        if (token < highestToken) {
            return 412;
        }
        highestToken = token;
        if (isLoading || expect !== undefined && expect !== orderCount) {
            return 409;
        }
        if (version === weightsVersion) {
            return 200;
        }
        isLoading = true;
        orderCount += 1;
        const bornAtOrder = getBorn();
        setTimeout(() => {
            if (!isDown && bornAtOrder === getBorn()) {
                isLoading = false;
                weightsVersion = version;
                options.onLoaded?.(version);
            }
        }, loadMilliseconds).unref();
        return 202;
    }

    async function handle(request, response) {
        const body = await readBody(request);
        if (body === undefined) {
            return;
        }
        const id = getId();
        const path = request.url.split("?")[0];
        const expected = request.headers["basilwing-expect-instance"];
        const expectedVersion = request.headers["basilwing-expect-version"];
        const requestId = request.headers["basilwing-request-id"];
        if (
            expected !== undefined && expected !== id
            || expectedVersion !== undefined && expectedVersion !== String(weightsVersion)
        ) {
            response.writeHead(421, {
                ...requestId === undefined ? {} : { "basilwing-request-id": requestId },
                "basilwing-not-executed": "1",
                "basilwing-instance-id": id,
                "content-length": 0,
            }).end();
            return;
        }
        if (path === "/health") {
            response.writeHead(isDraining ? 503 : 200, { "basilwing-instance-id": id, "content-length": 0 }).end();
            return;
        }
        if (path === "/basilwing/report") {
            send(response, 200, {}, {
                stage: "unified",
                models: getModels(),
                busy: isLoading,
                seq_no: orderCount,
                queued: 0,
                active: 0,
                kv_used: 0,
                kv_total: 229_838,
                handles: 0,
                born: getBorn(),
            });
            return;
        }
        if (path === "/basilwing/order") {
            send(response, acceptOrder(JSON.parse(body.toString())), {}, { born: getBorn() });
            return;
        }
        onRun({ requestId, path, body, headers: request.headers, replicaId: id });
        await sleep(workMilliseconds);
        const headers = {
            "basilwing-request-id": requestId,
            "basilwing-response-seal": `seal-${id}-${requestId}`,
            "basilwing-instance-id": id,
        };
        if (model === undefined) {
            send(response, 200, headers, { answered: requestId, by: id });
            return;
        }
        response.writeHead(200, {
            ...headers,
            "basilwing-weight-versions": String(weightsVersion),
            "content-type": "text/event-stream",
        });
        for (let number = 1; number <= 3; number += 1) {
            response.write(`id: ${number}\ndata: ${requestId} ${number}\n\n`);
            await sleep(5);
        }
        response.end();
    }
}

function send(response, status, headers, content) {
    const text = JSON.stringify(content);
    response.writeHead(status, {
        ...headers,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(text),
    });
    response.end(text);
}

async function readBody(request) {
    const chunks = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks);
}
