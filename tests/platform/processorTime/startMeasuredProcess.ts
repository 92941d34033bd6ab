/*
 * Runs a built program of the platform, and reads the processor time that it has used.
 */
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, openSync, readFileSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";
import { soakBounds } from "../soak/soakBounds";
import { soakPorts } from "../soak/soakPorts";
import { MeasuredProcess } from "./MeasuredProcess";

/** The heap limits of `deploy/system.toml`. */
const heapMegabytes = { entry: 120, control: 160 };
/** The unit of the times in `/proc/PID/stat`, in milliseconds. */
const millisecondsPerTick = 10;
/** The positions of `utime` and `stime` after the program's name in `/proc/PID/stat`. */
const userTimeIndex = 11;
const systemTimeIndex = 12;

/** The options of `startMeasuredProcess`. */
interface MeasuredProcessOptions {
    /** The folder that holds the program as `target/entry.js` or `target/control.js`. */
    programFolder: string;
    /** The role. */
    role: "entry" | "control";
    /** The loopback address. */
    ip: string;
    /** The folder for its settings, data, log and profile. */
    folder: string;
    /** The addresses of control members, as `ip:port`. */
    seedAddresses: readonly string[];
    /** The address of the platform's list, as `ip:port`. */
    listAddress: string;
    /** Whether it writes a profile of its whole run into the folder. */
    isProfiled: boolean;
}

/** Starts a process. */
export function startMeasuredProcess(options: MeasuredProcessOptions): MeasuredProcess {
    const { programFolder, role, ip, folder, seedAddresses, listAddress, isProfiled } = options;
    const dataFolder = join(folder, "data");
    const settingsFile = join(folder, "settings.json");
    mkdirSync(dataFolder, { recursive: true });
    writeFileSync(settingsFile, JSON.stringify(getSettings()));
    const logDescriptor = openSync(join(folder, "log.txt"), "a");
    const profileOptions = isProfiled ? ["--cpu-prof", `--cpu-prof-dir=${resolve(folder)}`] : [];
    const child: ChildProcess = spawn(
        process.execPath,
        [...profileOptions, `--max-old-space-size=${heapMegabytes[role]}`, join("target", `${role}.js`)],
        {
            cwd: programFolder,
            env: { PATH: process.env.PATH, BASILWING_SETTINGS: resolve(settingsFile) },
            stdio: ["ignore", logDescriptor, logDescriptor],
        },
    );
    return { ip, getProcessorMilliseconds, stop };

    function getProcessorMilliseconds(): number {
        const fields = readFileSync(`/proc/${child.pid}/stat`, "utf8").split(") ")[1]!.split(" ");
        return millisecondsPerTick * (Number(fields[userTimeIndex]) + Number(fields[systemTimeIndex]));
    }

    async function stop(): Promise<void> {
        if (typeof child.exitCode === "number" || typeof child.signalCode === "string") {
            throw new Error(`the ${role} at ${ip} ended by itself, see ${folder}`);
        }
        const exited = once(child, "exit");
        // A process writes its profile only if it ends by itself.
        child.kill(isProfiled ? "SIGTERM" : "SIGKILL");
        await exited;
    }

    function getSettings(): object {
        return {
            node_name: `${role}-${ip}`,
            ip,
            zone: "zone-a",
            listen: role === "entry"
                ? { front: `${ip}:${soakPorts.caller}`, ready: `${ip}:${soakPorts.readiness}` }
                : { control: `${ip}:${soakPorts.operator}` },
            port_range: [soakPorts.internal, soakPorts.internal + 15],
            seeds: seedAddresses,
            bootstrap: true,
            data_dir: role === "control" ? dataFolder : undefined,
            fault_tolerance: { machines: 1 },
            bounds: soakBounds,
            cloud_api: { address: listAddress, rate_per_s: 40 },
        };
    }
}
