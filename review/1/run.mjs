/*
 * Callers send long prompts, which they describe in blocks of 16 tokens. Their headers stay within `max_header_bytes`.
 * With TROUBLE=0 the same prompts are described in four parts.
 */
import { createHash } from "node:crypto";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { getResidentMegabytes, runCase, startDeployment } from "../lib/deployment.mjs";
import { sendCall } from "../lib/sendCall.mjs";
import { startReplica } from "../lib/startReplica.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const model = "daka510000";
const key = "Bearer ctnfzs989anu6wsjnban";
const seconds = 60;
/** The requests a second of notebook-summary and of publish-run in SYSTEM.md. */
const summariesPerSecond = 14.8;
const actionsPerSecond = 11.2;
const entryCount = 3;
/** The prompt's tokens: the time limit, the body and the engine's memory of the sheet allow more. */
const promptTokens = 19_200;
const blockTokens = 16;
/** The tokens that a prompt shares with others, and the number of shared texts. */
const sharedTokens = 5_376;
const sharedTexts = 79;
/** What an engine needs to read such a prompt (56.9 tokens a ms). */
const prefillMilliseconds = 340;
/** What a server of notebook-api works on a publish-run. */
const actionMilliseconds = 85.7;
/** The channels that one entry process gets from callers of publish-run, which keep them. */
const actionChannels = 8;
const maximumHeaderBytes = 16_384;
/** The rule: three own ends of a process in the day, on two machines at least (a tenth of the six in use is less). */
const faultyEnds = 3;
const faultyMachines = 2;

await runCase(async () => {
    const deployment = await startDeployment(new URL("record.txt", import.meta.url).pathname, entryCount);
    const { record } = deployment;
    const begun = new Set();
    const onRun = ({ requestId, replicaId }) => {
        begun.add(requestId);
        record(`${replicaId} runs ${requestId}`);
    };
    const engines = [51, 52, 53].map(number => ({
        id: `i-engine-${number}`,
        ip: `${deployment.network}.${number}`,
        service: "engines",
        model,
        workMilliseconds: prefillMilliseconds,
        onRun,
    }));
    const servers = [61, 62, 63].map(number => ({
        id: `i-server-${number}`,
        ip: `${deployment.network}.${number}`,
        service: "actions",
        slots: 6,
        workMilliseconds: actionMilliseconds,
        onRun,
    }));
    const replicas = await Promise.all([...engines, ...servers].map(startReplica));
    deployment.list.push(...replicas.map(replica => replica.getListEntry()));
    const agents = {
        summary: new Agent({ keepAlive: true }),
        action: new Agent({ keepAlive: true, maxSockets: actionChannels, scheduling: "fifo" }),
    };
    try {
        await deployment.putConfiguration(getConfiguration());
        await deployment.waitUntilReady();
        await sleep(3_000);
        const groups = await Promise.all([
            sendAtRate(summariesPerSecond, number => getSummary(number, agents.summary)),
            sendAtRate(actionsPerSecond, number => getAction(number, agents.action)),
            watchMemory(),
        ]);
        const answers = groups.flat();
        const outcomes = await Promise.all(answers);
        const ownEnds = deployment.entryProcesses.map(item => item.exits.length);
        const lost = outcomes.filter(({ requestId, hasBegun, isKept, isGivenUp }) =>
            isKept && !hasBegun && !isGivenUp && begun.has(requestId)
        );
        record(`sent ${outcomes.length}, answered 200 ${outcomes.filter(({ status }) => status === 200).length}`);
        record(`given up by their callers at the time limit: ${outcomes.filter(({ isGivenUp }) => isGivenUp).length}`);
        record(`run, and their kept channels closed without an answer: ${lost.length}`);
        record(`own ends of the entry processes by themselves: ${ownEnds.join(" ")}`);
        return ownEnds.filter(count => count >= faultyEnds).length < faultyMachines;
    }
    finally {
        Object.values(agents).forEach(agent => agent.destroy());
        await deployment.stop();
        replicas.forEach(replica => replica.stop());
    }

    async function sendAtRate(perSecond, getCall) {
        const answers = [];
        for (let number = 0; number < seconds * perSecond; number += 1) {
            answers.push(send(deployment.entryAddresses[number % entryCount], getCall(number)));
            await sleep(1_000 / perSecond);
        }
        return answers;
    }

    async function send(address, call) {
        const outcome = await sendCall(address, call);
        const { requestId, status, problem, isKept } = outcome;
        record(`${requestId} got ${status} on a ${isKept ? "kept" : "new"} channel${problem ? `: ${problem}` : ""}`);
        return outcome;
    }

    async function watchMemory() {
        for (let count = 0; count < seconds / 5; count += 1) {
            const sizes = deployment.entryProcesses.map(item => Math.round(getResidentMegabytes(item.child.pid)));
            record(`resident memory of the entry processes: ${sizes.join(" ")} MB`);
            await sleep(5_000);
        }
        return [];
    }
});

function getAction(number, agent) {
    const requestId = `publish-${number}`;
    return {
        agent,
        method: "POST",
        host: "hosting.example",
        path: "/publish/1",
        requestId,
        deadlineMilliseconds: 1_500,
        body: `body of ${requestId}`,
        headers: { authorization: key },
    };
}

function getSummary(number, agent) {
    const requestId = `summary-${number}`;
    const call = {
        agent,
        method: "POST",
        host: "assistant.example",
        path: "/summary/1",
        requestId,
        deadlineMilliseconds: 15_000,
        body: `body of ${requestId}`,
        headers: {
            "basilwing-model": model,
            "basilwing-token-usage": `${promptTokens},64`,
            "basilwing-prefix-hash": getParts(number),
            "authorization": key,
        },
    };
    const headerBytes = Object.entries(call.headers).reduce(
        (sum, [name, value]) => sum + name.length + value.length + 4,
        300,
    );
    if (headerBytes > maximumHeaderBytes) {
        throw new Error(`the headers have ${headerBytes} bytes`);
    }
    return call;
}

/** Describes a prompt: its shared text, then the request's own. */
function getParts(number) {
    const shared = `shared ${number % sharedTexts}`;
    const own = `own ${number}`;
    if (!hasTrouble) {
        const rest = promptTokens - sharedTokens;
        return [[shared, sharedTokens], [`${own} a`, rest / 4], [`${own} b`, rest / 4], [`${own} c`, rest / 2]]
            .map(([text, tokens]) => `${getPartId(text)}:${tokens}`).join(",");
    }
    return Array.from({ length: promptTokens / blockTokens }, (_, index) => {
        const text = index * blockTokens < sharedTokens ? shared : own;
        return `${getPartId(`${text} ${index}`)}:${blockTokens}`;
    }).join(",");
}

function getPartId(text) {
    return createHash("sha256").update(text).digest("hex").slice(0, 8);
}

function getConfiguration() {
    return {
        version: 1,
        routes: [{
            name: "summary",
            host: "assistant.example",
            path_prefix: "/summary/",
            kind: "stream",
            timeout_ms: 15_000,
            target_latency_ms: 1_000,
            priority: 1,
            service: "engines",
            max_attempts: 1,
            public: false,
            sticky: true,
            resumable: false,
            target_gap_ms: 800,
        }, {
            name: "publish",
            host: "hosting.example",
            path_prefix: "/publish/",
            kind: "unsafe",
            timeout_ms: 1_500,
            target_latency_ms: 386,
            priority: 2,
            service: "actions",
            max_attempts: 1,
            public: false,
        }],
        services: [{
            name: "engines",
            health_path: "/health",
            max_connections: 360,
            protocol: "h1",
            tls: false,
            engine: { slots: 64, kv_capacity_tokens: 229_838, kv_token_bytes: 18_432, models: [{ name: model }] },
        }, { name: "actions", health_path: "/health", max_connections: 96, protocol: "h1", tls: false }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "analysts", api_keys: ["ctnfzs989anu6wsjnban"], priority: 1, isolated: false }],
    };
}
