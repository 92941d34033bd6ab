/*
 * Estimates how long work takes at backend servers that share their machines with others, from what they report.
 * Addresses servers of unequal lasting speed under a load near capacity, where an equal share overloads the slow ones. Each
 * report is a sample of a noisy figure, so the estimate is a mean of the recent ones. It tends to the usual speed the
 * fewer and older they are: a slow server is then chosen again, and measured.
 */
import { Clock } from "../runtime";
import { ServerSpeed } from "./ServerSpeed";
import { ServerSpeeds } from "./ServerSpeeds";
import { SpeedEvidence } from "./SpeedEvidence";

/** The time in which a report's weight falls to 1/e. */
const decayMilliseconds = 1_500;
/** The weight of the usual speed, in reports. */
const usualSpeedWeight = 0.5;
/** How long own reports are used after the newest one, and others' evidence after the load sums that contain it. */
const maximumAgeMilliseconds = 5_000;
/** The plausible reports, in percent. Others would outweigh many reports in the mean, or attract all requests. */
const minimumPercent = 10;
const maximumPercent = 2_000;
const percentOfUsualTime = 100;
/** The least weight of others' evidence that counts: less is left when differences of rounded sums cancel out. */
const minimumOthersWeight = 0.01;

interface ReportedServer extends SpeedEvidence {
    reportedAtMilliseconds: number;
}

/**
 * Creates the speeds of an entry process that has no reports yet.
 * @param clock - The clock.
 */
export function createServerSpeeds(clock: Clock): ServerSpeeds {
    const servers = new Map<string, ReportedServer>();
    let nextRemovalMilliseconds = 0;
    return { recordReport, getSpeed, getOwnEvidence, getReportedIds };

    function recordReport(instanceId: string, workPercent: number): void {
        const now = clock.getMonotonicMilliseconds();
        if (!isPlausible(workPercent)) {
            return;
        }
        if (now >= nextRemovalMilliseconds) {
            removeOutdated();
            nextRemovalMilliseconds = now + maximumAgeMilliseconds;
        }
        const { workWeight, weightedWork } = getOwnEvidence(instanceId) ?? { workWeight: 0, weightedWork: 0 };
        servers.set(instanceId, {
            workWeight: workWeight + 1,
            weightedWork: weightedWork + workPercent / percentOfUsualTime,
            reportedAtMilliseconds: now,
        });
    }

    function getSpeed(
        instanceId: string,
        others?: SpeedEvidence & { ageMilliseconds: number; },
    ): ServerSpeed | undefined {
        const own = getOwnEvidence(instanceId);
        const received = others && isUsable(others) ? others : undefined;
        if (!own && !received) {
            return undefined;
        }
        const receivedShare = getRemainingShare(received?.ageMilliseconds ?? 0);
        const workWeight = (own?.workWeight ?? 0) + (received?.workWeight ?? 0) * receivedShare;
        const weightedWork = (own?.weightedWork ?? 0) + (received?.weightedWork ?? 0) * receivedShare;
        return {
            workFactor: (weightedWork + usualSpeedWeight) / (workWeight + usualSpeedWeight),
            ageMilliseconds: Math.min(
                own ? getAge(servers.get(instanceId)!) : Infinity,
                received?.ageMilliseconds ?? Infinity,
            ),
        };
    }

    function getOwnEvidence(instanceId: string): SpeedEvidence | undefined {
        const server = servers.get(instanceId);
        if (!server || getAge(server) > maximumAgeMilliseconds) {
            return undefined;
        }
        const share = getRemainingShare(getAge(server));
        return { workWeight: server.workWeight * share, weightedWork: server.weightedWork * share };
    }

    function getReportedIds(): readonly string[] {
        removeOutdated();
        return [...servers.keys()];
    }

    function getAge({ reportedAtMilliseconds }: ReportedServer): number {
        return clock.getMonotonicMilliseconds() - reportedAtMilliseconds;
    }

    /** Removes servers without recent reports: those that are gone, and those that no longer report their speed. */
    function removeOutdated(): void {
        const outdated = [...servers].filter(([, server]) => getAge(server) > maximumAgeMilliseconds);
        outdated.forEach(([instanceId]) => servers.delete(instanceId));
    }
}

function isPlausible(workPercent: number): boolean {
    return workPercent >= minimumPercent && workPercent <= maximumPercent;
}

/** Returns whether others' evidence counts. It is the difference of sums of different ages, so its mean may be absurd. */
function isUsable(
    { workWeight, weightedWork, ageMilliseconds }: SpeedEvidence & { ageMilliseconds: number; },
): boolean {
    return workWeight >= minimumOthersWeight && ageMilliseconds <= maximumAgeMilliseconds
        && isPlausible(percentOfUsualTime * weightedWork / workWeight);
}

function getRemainingShare(ageMilliseconds: number): number {
    return Math.exp(-ageMilliseconds / decayMilliseconds);
}
