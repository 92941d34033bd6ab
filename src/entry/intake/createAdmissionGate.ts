/*
 * Sheds load before the entry is full: less urgent requests are refused first, and so are larger ones, which find no
 * room where smaller ones still do.
 */
import { Priority } from "../../protocol";
import { AdmissionGate } from "./AdmissionGate";
import { AdmissionLimits } from "./AdmissionLimits";

const capacityShares: Readonly<Record<Priority, number>> = {
    [Priority.UNSPECIFIED]: 0.85,
    [Priority.INTERACTIVE]: 1,
    [Priority.STANDARD]: 0.85,
    [Priority.DEFERRED]: 0.7,
};

/** Creates the gate of an entry that holds nothing. */
export function createAdmissionGate(limits: AdmissionLimits): AdmissionGate {
    let requests = 0;
    let bytes = 0;
    return { tryAcquire, getUtilization };

    function tryAcquire(priority: Priority, reservedBytes: number): (() => void) | undefined {
        const share = capacityShares[priority];
        const hasRoom = requests + 1 <= Math.max(1, limits.maximumRequests * share)
            && bytes + reservedBytes <= limits.maximumBytes * share;
        if (!hasRoom) {
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
