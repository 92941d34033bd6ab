/*
 * This control member's leadership of the replicated log. A new leader's leadership is assured only after a read barrier in
 * its term, which shows that its state contains everything that former leaders committed.
 */
import { Clock } from "../../runtime";
import { ConsensusRole, hasPassed, ReplicatedLog } from "../consensus";
import { Leadership } from "./Leadership";

const barrierRetryIntervalMilliseconds = 50;

/**
 * Creates the leadership of one control member.
 * @param log - The replicated log.
 * @param clock - The clock that times are taken from.
 */
export function createLeadership(log: ReplicatedLog, clock: Clock): Leadership {
    const listeners = new Set<() => void>();
    const stopped = new AbortController();
    let ledTerm: bigint | undefined;
    let leadingSince = 0;
    let hasPassedBarrier = false;
    let barrierTask: Promise<void> = Promise.resolve();
    const removeListener = log.addStatusListener(handleStatus);
    handleStatus();
    return { isAssured, getTerm: () => log.getStatus().term, getAgeMilliseconds, addListener, stop };

    function handleStatus(): void {
        const { role, term } = log.getStatus();
        const newLedTerm = role === ConsensusRole.Leader ? term : undefined;
        if (newLedTerm === ledTerm) {
            return;
        }
        ledTerm = newLedTerm;
        leadingSince = clock.getMonotonicMilliseconds();
        hasPassedBarrier = false;
        if (newLedTerm === undefined) {
            listeners.forEach(listener => listener());
        }
        else {
            barrierTask = awaitBarrier(newLedTerm);
        }
    }

    /** Retries the read barrier until it passes or the term is over. */
    async function awaitBarrier(term: bigint): Promise<void> {
        while (ledTerm === term && !stopped.signal.aborted) {
            const outcome = await log.readBarrier();
            if (hasPassed(outcome) && ledTerm === term) {
                hasPassedBarrier = true;
                listeners.forEach(listener => listener());
                return;
            }
            await clock.sleep(barrierRetryIntervalMilliseconds, stopped.signal);
        }
    }

    function isAssured(): boolean {
        const status = log.getStatus();
        return hasPassedBarrier
            && status.role === ConsensusRole.Leader
            && status.term === ledTerm
            && log.getLeaderLeaseMilliseconds() > 0;
    }

    function getAgeMilliseconds(): number {
        return ledTerm === undefined ? 0 : clock.getMonotonicMilliseconds() - leadingSince;
    }

    function addListener(listener: () => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    async function stop(): Promise<void> {
        stopped.abort();
        removeListener();
        await barrierTask;
    }
}
