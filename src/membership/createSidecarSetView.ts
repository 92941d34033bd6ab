/*
 * The sidecars of the region whose majority may vouch, as one process knows them.
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
