/*
 * A process that may dispatch requests while its lease is valid. The time of a lease is counted from the request for it, so
 * a grant that arrives late is valid for a shorter time. Without a lease, the process requests confirmation from its peers;
 * in this example no majority confirms.
 *
 * Run: npx tsx examples/lease.ts
 */
import { create } from "@bufbuild/protobuf";
import {
    Clock,
    createAuthority,
    createProcessLease,
    createSidecarSetView,
    isDispatchAllowed,
    LeaseGrantSchema,
    readClocks,
} from "../src";

const leaseMilliseconds = 10_000;

async function run(): Promise<void> {
    let now = 0;
    const clock: Clock = {
        getWallMilliseconds: () => now,
        getMonotonicMilliseconds: () => now,
        sleep: async milliseconds => void (now += milliseconds),
    };
    const lease = createProcessLease(clock);
    const authority = createAuthority({
        clock,
        getRevision: () => 7n,
        lease,
        sidecarSet: createSidecarSetView(),
        runConfirmationRound: async () => ({ kind: "noMajority" }),
        fetchNewerState: async () => {},
    });
    console.log(`before any grant: ${await authority.checkAuthority()}`);
    const requestedAt = readClocks(clock);
    now += 4_000;
    lease.addGrant(
        create(LeaseGrantSchema, { remainingMilliseconds: leaseMilliseconds, term: 1n, configurationRevision: 7n }),
        requestedAt,
    );
    console.log(`granted late: ${lease.getRemainingMilliseconds()} ms left`);
    console.log(`while it runs: ${await authority.checkAuthority()}`);
    console.log(`work admitted under revision 6: ${isDispatchAllowed(authority, 6n, true)}`);
    console.log(`work admitted under revision 7: ${isDispatchAllowed(authority, 7n, true)}`);
    now += 6_000;
    console.log(`after it has expired: ${await authority.checkAuthority()}`);
}

void run();
