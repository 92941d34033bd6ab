/*
 * Implements a process's copy of the region's sidecar set, whose majority can confirm the configuration.
 */
import { create } from "@bufbuild/protobuf";
import { CompanionSet, CompanionSetSchema } from "../protocol";
import { SidecarSetView } from "./SidecarSetView";

/** Creates an empty copy of the set. */
export function createSidecarSetView(): SidecarSetView {
    let current = create(CompanionSetSchema);
    let instanceIds: ReadonlySet<string> = new Set();
    return {
        getNumber: () => current.number,
        getInstanceIds: () => instanceIds,
        apply,
        getSet: () => current,
    };

    function apply(set: CompanionSet): void {
        if (set.number <= current.number) {
            return;
        }
        current = set;
        instanceIds = new Set(set.instanceIds);
    }
}
