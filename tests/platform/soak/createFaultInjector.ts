/*
 * Injects faults and planned changes into a deployment, and tracks when the last unplanned fault ended.
 */
import { appendFileSync, readdirSync, statSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { emptyFolder } from "./emptyFolder";
import { soakBounds } from "./soakBounds";
import { SoakDeployment } from "./SoakDeployment";
import { SoakFault } from "./SoakFault";
import { SoakLinkState } from "./SoakLinkState";
import { SoakOperator } from "./SoakOperator";
import { SoakProcess } from "./SoakProcess";

const minimumFaultMilliseconds = 400;
const faultRangeMilliseconds = 2_600;
const tornTailBytes = 37;

/** Injects faults and planned changes. */
export interface FaultInjector {
    /** Injects a fault at a random target, and waits until it has ended. */
    inject(fault: SoakFault): Promise<void>;
    /** Kills all entry processes at once. */
    killAllEntries(): Promise<void>;
    /** Kills all control members right after one has acknowledged a change, and empties the data folder of one of them. */
    wipeAfterAcknowledgement(): Promise<void>;
    /** Returns whether no unplanned fault is active or has ended within the stable window. */
    isStable(): boolean;
}

/**
 * Creates the injector of one soak.
 * @param deployment - The deployment to inject faults into.
 * @param operator - Makes the planned changes of the configuration and the weights.
 * @param random - Chooses the targets and the durations.
 */
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
        killAllEntries: () => trackUnplanned(() => Promise.all(entries.map(entry => entry.kill()))),
        wipeAfterAcknowledgement,
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
                return trackUnplanned(() => applyUnplannedFault(fault));
        }
    }

    /** Injects an unplanned fault. The deployment counts as stable again only some time after it has ended. */
    async function trackUnplanned(injectFault: () => Promise<unknown>): Promise<void> {
        activeFaultCount += 1;
        try {
            await injectFault();
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

    /** Empties a data folder, at most one in a soak, since the deployment tolerates the loss of one disk. */
    async function emptyDataFolder(control: SoakProcess): Promise<void> {
        if (hasEmptiedDisk) {
            return;
        }
        hasEmptiedDisk = true;
        control.changeDataFolderBeforeRestart(emptyFolder);
        await control.kill();
    }

    async function wipeAfterAcknowledgement(): Promise<void> {
        const wiped = pick(controls);
        await operator.changeDocument();
        wiped.changeDataFolderBeforeRestart(emptyFolder);
        await trackUnplanned(() => Promise.all(controls.map(control => control.kill())));
    }

    /** Appends bytes to the newest log segment, as a torn write leaves them. */
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
        // The bytes that the link has dropped would otherwise be missing in the middle of a connection.
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
