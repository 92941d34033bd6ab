/*
 * An instance with all three roles (entry, sidecar and control member) for one engine, with or without a KV cache store.
 */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { getFreePorts } from "../../src/demo";
import { startInstance } from "../../src/instance";
import { createSystemClock } from "../../src/runtime";
import { createKeyDigest } from "../../src/security";
import { checkInstanceSettings } from "../../src/settings";
import { EngineStandInOptions, startEngineStandIn } from "../../src/standIns";

const key = "key-of-anna-0123456789";
const loopback = "127.0.0.1";
const pollMilliseconds = 10;

/**
 * Starts an instance and its engine, and waits until the instance is ready.
 * @param storeAddress - The address of the KV cache store; undefined for none.
 * @param engineOptions - The options of the engine.
 */
export async function startKvCacheStoreInstance(storeAddress: string | undefined, engineOptions: EngineStandInOptions) {
    const clock = createSystemClock();
    const folder = await mkdtemp(join(tmpdir(), "basilwing-kept-cache-"));
    const configurationFile = join(folder, "configuration.json");
    await writeFile(configurationFile, JSON.stringify(createConfiguration()));
    const engine = await startEngineStandIn(engineOptions);
    const [internalPort] = await getFreePorts(1);
    const settingsResult = checkInstanceSettings({
        instanceId: "trial",
        dataCentre: "brest",
        region: "bretagne",
        roles: ["entry", "companion", "control"],
        listeners: {
            internal: { address: loopback, port: internalPort },
            callers: { address: loopback, port: 0 },
            operators: { address: loopback, port: 0 },
            administration: { address: loopback, port: 0 },
        },
        control: {
            group: "bretagne",
            members: [`${loopback}:${internalPort}`],
            bootstrap: true,
            initialConfigurationFile: configurationFile,
        },
        dataFolder: join(folder, "data"),
        routing: { bytesPerToken: 1 },
        logging: { level: "info", file: join(folder, "log") },
        companion: {
            backendKind: "engine",
            serves: "large",
            backendAddress: engine.address,
            keptCacheAddress: storeAddress,
        },
    }, {});
    if (settingsResult.kind !== "loaded") {
        throw new Error(JSON.stringify(settingsResult));
    }
    const startResult = await startInstance(settingsResult.settings);
    if (startResult.kind === "failed") {
        throw new Error(startResult.reason);
    }
    const { instance } = startResult;
    await waitUntil(() => instance.isReady());
    return { engine, complete, crashEngine, getMetrics, until: waitUntil, stop };

    /**
     * Sends a prompt as a streamed completion.
     * @returns Among others, the number of prompt tokens that were cached, and the time to the first token.
     */
    async function complete(prompt: string) {
        const startMilliseconds = performance.now();
        const response = await request(`http://${instance.addresses.callers}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
            body: JSON.stringify({
                model: "large",
                prompt,
                stream: true,
                stream_options: { include_usage: true },
                max_tokens: 4,
            }),
        });
        let text = "";
        let firstTokenMilliseconds: number | undefined;
        for await (const chunk of response.body) {
            text += String(chunk);
            firstTokenMilliseconds ??= /"text":"[^"]/.test(text) ? performance.now() - startMilliseconds : undefined;
        }
        const cachedTokens = Number(/"cached_tokens":(\d+)/.exec(text)?.[1]);
        return { status: response.statusCode, text, cachedTokens, firstTokenMilliseconds };
    }

    /** Crashes the engine, and waits until the sidecar has observed its new incarnation. */
    async function crashEngine(): Promise<void> {
        const previousIncarnation = engine.getIncarnation();
        await engine.crash();
        await waitUntil(() => engine.getIncarnation() !== previousIncarnation);
        await waitUntil(() =>
            instance.isReady() && JSON.stringify(instance.getStatus()).includes(engine.getIncarnation())
        );
    }

    async function getMetrics(): Promise<string> {
        const response = await request(`http://${instance.addresses.administration}/metrics`);
        return await response.body.text();
    }

    async function waitUntil(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await clock.sleep(pollMilliseconds);
        }
    }

    async function stop(): Promise<void> {
        await instance.stop();
        await engine.stop();
        await rm(folder, { recursive: true });
    }
}

function createConfiguration(): object {
    const subscribers = { anna: { settings: { keyDigests: [createKeyDigest(key)] } } };
    return {
        settings: { models: { large: { allowed: true } } },
        workspaces: { regie: { teams: { counter: { subscribers } } } },
    };
}
