/*
 * A configuration makes a tenant isolated. With TROUBLE=0 the tenant is isolated from the beginning, and the same number of
 * configurations is sent.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createCache } from "../lib/createCache.mjs";
import { bounds, runCase, startDeployment } from "../lib/deployment.mjs";
import { engine, getEngineConfiguration, getPrompt } from "../lib/prompts.mjs";
import { sendCall } from "../lib/sendCall.mjs";
import { startReplica } from "../lib/startReplica.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const walledTenant = "walled";
const requestCount = 60;
const pauseMilliseconds = 100;
/** The wait after the acknowledgement: several times the bound on a configuration. */
const settlingMilliseconds = 3 * bounds.config_apply_ms;

await runCase(async () => {
    const deployment = await startDeployment(new URL("record.txt", import.meta.url).pathname, 2);
    const { record, network, list } = deployment;
    const breaks = [];
    let isIsolated = !hasTrouble;
    let count = 0;
    const replicas = await Promise.all([51, 52].map(startEngine));
    list.push(...replicas.map(replica => replica.getListEntry()));
    try {
        await deployment.putConfiguration(getEngineConfiguration(1, getTenants()));
        await deployment.waitUntilReady();
        await sleep(3_000);
        await sendMany("walled");
        isIsolated = true;
        await deployment.putConfiguration(getEngineConfiguration(2, getTenants()));
        await sleep(settlingMilliseconds);
        await sendMany("open");
        record(
            `uses of parts across the wall of ${walledTenant}, after the ack and ${settlingMilliseconds} ms: ${breaks.length}`,
        );
        return breaks.length === 0;
    }
    finally {
        await deployment.stop();
        replicas.forEach(replica => replica.stop());
    }

    function getTenants() {
        return [
            { name: "open", api_keys: ["fqasnmgkcuyj8pjbvk9m"], priority: 1, isolated: false },
            { name: walledTenant, api_keys: ["ctnfzs989anu6wsjnban"], priority: 1, isolated: isIsolated },
        ];
    }

    function startEngine(number) {
        const cache = createCache();
        return startReplica({
            ...engine,
            ip: `${network}.${number}`,
            id: `i-engine-${number}`,
            onRun: ({ requestId, replicaId, headers }) => {
                const tenant = headers["basilwing-tenant"];
                record(
                    `${replicaId} runs ${requestId} of ${tenant}, salt ${headers["basilwing-cache-salt"] ?? "none"}`,
                );
                cache.run(headers)
                    .filter(({ maker }) => isIsolated && maker !== tenant && [maker, tenant].includes(walledTenant))
                    .forEach(({ id, maker }) => {
                        breaks.push(requestId);
                        record(`WALL: ${requestId} of ${tenant} uses part ${id}, which a request of ${maker} made`);
                    });
            },
        });
    }

    /** Sends requests of one tenant, and waits for their answers. */
    async function sendMany(name) {
        const { api_keys: [apiKey] } = getTenants().find(tenant => tenant.name === name);
        const answers = [];
        for (let number = 0; number < requestCount; number += 1) {
            count += 1;
            answers.push(send(getPrompt(`label-${count}`, `a${count}`, apiKey), name));
            await sleep(pauseMilliseconds);
        }
        await Promise.all(answers);
    }

    async function send(call, name) {
        const address = deployment.entryAddresses[count % 2];
        record(`${name} sends ${call.requestId} to ${address}`);
        const { status } = await sendCall(address, call);
        record(`${call.requestId} got ${status}`);
    }
});
