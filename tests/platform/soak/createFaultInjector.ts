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
import { SoakLinkState } from "./SoakLinkState";
import { SoakOperator } from "./SoakOperator";
import { SoakProcess } from "./SoakProcess";

const minimumFaultMilliseconds = 400;
const faultRangeMilliseconds = 2_600;
const tornTailBytes = 37;

/** Injects faults. */
export interface FaultInjector {
    /** Injects one, and waits until it is over. */
    inject(fault: SoakFault): Promise<void>;
    /** Tells whether nothing unplanned disturbs the deployment, or did a moment ago. */
    isStable(): boolean;
}

/** Creates the injector of one soak. */
export function createFaultInjector(
    deployment: SoakDeployment,
    operator: SoakOperator,
    random: RandomSource,
): FaultInjector {
    const { controls, entries, backends, proxies } = deployment;
    let activeFaultCount = 0;
    let lastFaultEndMilliseconds = Date.now();
    let hasEmptiedDisk = false;
    let hasRevokedKey = false;
    return {
        inject,
        isStable: () => activeFaultCount === 0 && Date.now() - lastFaultEndMilliseconds > soakBounds.stable_window_ms,
    };

    async function inject(fault: SoakFault): Promise<void> {
        switch (fault) {
            case SoakFault.ReloadSettings:
                pick([...controls, ...entries]).reloadSettings();
                return;
            case SoakFault.ChangeDocument:
                return operator.changeDocument();
            case SoakFault.NameWeights:
                return operator.requestWeights();
            case SoakFault.RevokeKey:
                if (hasRevokedKey) {
                    return;
                }
                hasRevokedKey = true;
                return operator.revokeKey();
            case SoakFault.TerminateEntry:
                return pick(entries).terminate();
            default:
                return injectUnplanned(fault);
        }
    }

    /** Injects what is not planned; the deployment is calm some time after its end only. */
    async function injectUnplanned(fault: Exclude<SoakFault, PlannedFault>): Promise<void> {
        activeFaultCount += 1;
        try {
            await applyUnplannedFault(fault);
        }
        finally {
            activeFaultCount -= 1;
            lastFaultEndMilliseconds = Date.now();
        }
    }

    async function applyUnplannedFault(fault: Exclude<SoakFault, PlannedFault>): Promise<void> {
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
                return pick(entries).pause(getRandomDuration());
            case SoakFault.PauseControl:
                return pick(controls).pause(getRandomDuration());
            case SoakFault.WipeControl:
                return emptyDataFolder(pick(controls));
            case SoakFault.TearControl:
                return tearLogTail(pick(controls));
            case SoakFault.CrashBackend:
                pick(backends).crash();
                return;
            case SoakFault.DelayLink:
                return changeLinkState(SoakLinkState.Delayed);
            case SoakFault.CutLinkOneWay:
                return changeLinkState(SoakLinkState.CutOneWay);
            case SoakFault.SilenceLink:
                return changeLinkState(SoakLinkState.Silent);
            case SoakFault.ResetLink:
                pick(proxies).resetConnections();
                return;
        }
    }

    /** Empties a data folder; one at most in a soak, as the deployment tolerates one lost disk. */
    async function emptyDataFolder(control: SoakProcess): Promise<void> {
        if (hasEmptiedDisk) {
            return;
        }
        hasEmptiedDisk = true;
        control.changeDataFolderBeforeRestart(folder =>
            readdirSync(folder).forEach(name => rmSync(join(folder, name), { recursive: true }))
        );
        await control.kill();
    }

    async function tearLogTail(control: SoakProcess): Promise<void> {
        control.changeDataFolderBeforeRestart(folder => {
            const files = readdirSync(folder, { recursive: true, withFileTypes: true }).filter(file => file.isFile());
            const paths = files.map(file => join(file.parentPath, file.name)).filter(path => path.includes("segment"));
            const newest = paths.sort((left, right) => statSync(right).mtimeMs - statSync(left).mtimeMs)[0];
            if (newest) {
                appendFileSync(newest, Buffer.alloc(tornTailBytes, 0xa5));
            }
        });
        await control.kill();
    }

    async function changeLinkState(linkState: SoakLinkState): Promise<void> {
        const proxy = pick(proxies);
        proxy.setLinkState(linkState);
        await sleep(getRandomDuration());
        proxy.setLinkState(SoakLinkState.Open);
        // What a silent link has swallowed would be missing in the middle of a connection.
        proxy.resetConnections();
    }

    function pick<T>(items: readonly T[]): T {
        return items[random.getInteger(items.length)]!;
    }

    function getRandomDuration(): number {
        return minimumFaultMilliseconds + random.getInteger(faultRangeMilliseconds);
    }
}

type PlannedFault =
    | SoakFault.ReloadSettings
    | SoakFault.ChangeDocument
    | SoakFault.NameWeights
    | SoakFault.RevokeKey
    | SoakFault.TerminateEntry;
