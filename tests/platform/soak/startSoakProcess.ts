/*
 * Runs one of the system's built programs under settings in the platform's format.
 */
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { soakBounds } from "./soakBounds";
import { soakPorts } from "./soakPorts";
import { SoakProcess } from "./SoakProcess";

const restartMilliseconds = 300;

interface SoakProcessOptions {
    ip: string;
    role: "entry" | "control";
    /** Where its settings, data and log lie. */
    folder: string;
    seedAddresses: readonly string[];
    listAddress: string;
}

/** Starts a process. */
export function startSoakProcess(options: SoakProcessOptions): SoakProcess {
    const { ip, role, folder, seedAddresses, listAddress } = options;
    const dataFolder = join(folder, "data");
    const settingsFile = join(folder, "settings.json");
    mkdirSync(dataFolder, { recursive: true });
    const output = openSync(join(folder, "log.txt"), "a");
    let isStopped = false;
    let isPaused = false;
    let isFirstStart = true;
    let folderChange: ((folder: string) => void) | undefined;
    let child = start();
    return {
        ip,
        role,
        isRunning: () => !isPaused && typeof child.exitCode !== "number" && typeof child.signalCode !== "string",
        kill: () => end("SIGKILL"),
        terminate: () => end("SIGTERM"),
        pause,
        reload: () => void child.kill("SIGHUP"),
        changeFolder: change => folderChange = change,
        stop: async () => {
            isStopped = true;
            await end("SIGKILL");
        },
    };

    function start(): ChildProcess {
        folderChange?.(dataFolder);
        folderChange = undefined;
        writeFileSync(settingsFile, JSON.stringify(getSettings()));
        isFirstStart = false;
        const started = spawn(process.execPath, [join("target", `${role}.js`)], {
            env: { PATH: process.env.PATH, BASILWING_SETTINGS: settingsFile },
            stdio: ["ignore", output, output],
        });
        started.once("exit", () => {
            if (!isStopped) {
                setTimeout(() => {
                    if (!isStopped) {
                        child = start();
                    }
                }, restartMilliseconds);
            }
        });
        return started;
    }

    function getSettings(): object {
        const listen = role === "entry"
            ? { front: `${ip}:${soakPorts.caller}`, ready: `${ip}:${soakPorts.readiness}` }
            : { control: `${ip}:${soakPorts.operator}` };
        return {
            node_name: `${role}-${ip}`,
            ip,
            zone: "zone-a",
            listen,
            port_range: [soakPorts.internal, soakPorts.internal + 15],
            seeds: seedAddresses,
            bootstrap: isFirstStart,
            data_dir: role === "control" ? dataFolder : undefined,
            fault_tolerance: { machines: 1 },
            bounds: soakBounds,
            cloud_api: { address: listAddress, rate_per_s: 40 },
        };
    }

    async function end(signal: "SIGKILL" | "SIGTERM"): Promise<void> {
        const ending = child;
        if (typeof ending.exitCode === "number" || typeof ending.signalCode === "string") {
            return;
        }
        const ended = once(ending, "exit");
        ending.kill(signal);
        const grace = sleep(soakBounds.grace_s * 1_000, undefined, { ref: false });
        await Promise.race([ended, grace]);
        ending.kill("SIGKILL");
        await ended;
    }

    async function pause(milliseconds: number): Promise<void> {
        isPaused = true;
        const paused = child;
        paused.kill("SIGSTOP");
        await sleep(milliseconds);
        paused.kill("SIGCONT");
        isPaused = false;
    }
}
