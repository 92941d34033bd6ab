/*
 * Sheds load before the capacity of the entry is used up. Less urgent requests are refused first, and larger ones
 * before smaller ones, as they need more of the remaining capacity.
 */
import { Priority } from "../../protocol";
import { AdmissionGate } from "./AdmissionGate";
import { AdmissionLimits } from "./AdmissionLimits";

/** The share of the capacity that requests of a priority may fill. */
const capacityShares: Readonly<Record<Priority, number>> = {
    [Priority.UNSPECIFIED]: 0.85,
    [Priority.INTERACTIVE]: 1,
    [Priority.STANDARD]: 0.85,
    [Priority.DEFERRED]: 0.7,
};

/** Creates an admission gate whose capacity is all free. */
export function createAdmissionGate(limits: AdmissionLimits): AdmissionGate {
    let requests = 0;
    let bytes = 0;
    return { tryAcquire, getUtilization };

    function tryAcquire(priority: Priority, reservedBytes: number): (() => void) | undefined {
        const share = capacityShares[priority];
        const hasCapacity = requests + 1 <= Math.max(1, limits.maximumRequests * share)
            && bytes + reservedBytes <= limits.maximumBytes * share;
        if (!hasCapacity) {
            return undefined;
        }
        requests += 1;
        bytes += reservedBytes;
        let isReleased = false;
        return () => {
            if (!isReleased) {
                isReleased = true;
                requests -= 1;
                bytes -= reservedBytes;
            }
        };
    }

    function getUtilization(): number {
        return Math.max(requests / limits.maximumRequests, bytes / limits.maximumBytes);
    }
}
