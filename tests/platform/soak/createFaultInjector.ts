/*
 * Does to a deployment what a soak draws, and remembers when it was disturbed last.
 */
import { appendFileSync, readdirSync, rmSync, statSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { soakBounds } from "./soakBounds";
import { SoakDeployment } from "./SoakDeployment";
import { SoakFault } from "./SoakFault";
import { SoakLink } from "./SoakLink";
import { SoakOperator } from "./SoakOperator";
import { SoakProcess } from "./SoakProcess";

const shortestMilliseconds = 400;
const spreadMilliseconds = 2_600;
const tornBytes = 37;

/** Injects faults. */
export interface FaultInjector {
    /** Injects one, and waits until it is over. */
    inject(fault: SoakFault): Promise<void>;
    /** Tells whether nothing unplanned disturbs the deployment, or did a moment ago. */
    isCalm(): boolean;
}

/** Creates the injector of one soak. */
export function createFaultInjector(
    deployment: SoakDeployment,
    operator: SoakOperator,
    random: RandomSource,
): FaultInjector {
    const { controls, entries, backends, proxies } = deployment;
    let disturbances = 0;
    let lastDisturbance = Date.now();
    let hasWiped = false;
    let hasRevoked = false;
    return {
        inject,
        isCalm: () => disturbances === 0 && Date.now() - lastDisturbance > soakBounds.stable_window_ms,
    };

    async function inject(fault: SoakFault): Promise<void> {
        switch (fault) {
            case SoakFault.ReloadSettings:
                pick([...controls, ...entries]).reload();
                return;
            case SoakFault.ChangeDocument:
                return operator.change();
            case SoakFault.NameWeights:
                return operator.nameWeights();
            case SoakFault.RevokeKey:
                if (hasRevoked) {
                    return;
                }
                hasRevoked = true;
                return operator.revoke();
            case SoakFault.TerminateEntry:
                return pick(entries).terminate();
            default:
                return disturb(fault);
        }
    }

    /** Injects what is not planned; the deployment is calm some time after its end only. */
    async function disturb(fault: Exclude<SoakFault, PlannedFault>): Promise<void> {
        disturbances += 1;
        try {
            await injectDisturbance(fault);
        }
        finally {
            disturbances -= 1;
            lastDisturbance = Date.now();
        }
    }

    async function injectDisturbance(fault: Exclude<SoakFault, PlannedFault>): Promise<void> {
        switch (fault) {
            case SoakFault.KillEntry:
                return pick(entries).kill();
            case SoakFault.KillControl:
                return pick(controls).kill();
            case SoakFault.KillAllControl:
                await Promise.all(controls.map(control => control.kill()));
                return;
            case SoakFault.TerminateControl:
                return pick(controls).terminate();
            case SoakFault.PauseEntry:
                return pick(entries).pause(drawMilliseconds());
            case SoakFault.PauseControl:
                return pick(controls).pause(drawMilliseconds());
            case SoakFault.WipeControl:
                return wipe(pick(controls));
            case SoakFault.TearControl:
                return tear(pick(controls));
            case SoakFault.CrashBackend:
                pick(backends).crash();
                return;
            case SoakFault.DelayLink:
                return changeLink(SoakLink.Delayed);
            case SoakFault.CutLinkOneWay:
                return changeLink(SoakLink.CutOneWay);
            case SoakFault.SilenceLink:
                return changeLink(SoakLink.Silent);
            case SoakFault.ResetLink:
                pick(proxies).reset();
                return;
        }
    }

    /** Empties a data folder; one at most in a soak, as the deployment tolerates one lost disk. */
    async function wipe(control: SoakProcess): Promise<void> {
        if (hasWiped) {
            return;
        }
        hasWiped = true;
        control.changeFolder(folder =>
            readdirSync(folder).forEach(name => rmSync(join(folder, name), { recursive: true }))
        );
        await control.kill();
    }

    async function tear(control: SoakProcess): Promise<void> {
        control.changeFolder(folder => {
            const files = readdirSync(folder, { recursive: true, withFileTypes: true }).filter(file => file.isFile());
            const paths = files.map(file => join(file.parentPath, file.name)).filter(path => path.includes("segment"));
            const newest = paths.sort((left, right) => statSync(right).mtimeMs - statSync(left).mtimeMs)[0];
            if (newest) {
                appendFileSync(newest, Buffer.alloc(tornBytes, 0xa5));
            }
        });
        await control.kill();
    }

    async function changeLink(link: SoakLink): Promise<void> {
        const proxy = pick(proxies);
        proxy.setLink(link);
        await sleep(drawMilliseconds());
        proxy.setLink(SoakLink.Open);
        // What a silent link has swallowed would be missing in the middle of a connection.
        proxy.reset();
    }

    function pick<T>(items: readonly T[]): T {
        return items[random.getInteger(items.length)]!;
    }

    function drawMilliseconds(): number {
        return shortestMilliseconds + random.getInteger(spreadMilliseconds);
    }
}

type PlannedFault =
    | SoakFault.ReloadSettings
    | SoakFault.ChangeDocument
    | SoakFault.NameWeights
    | SoakFault.RevokeKey
    | SoakFault.TerminateEntry;
