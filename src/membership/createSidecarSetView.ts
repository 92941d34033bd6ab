/*
 * The sidecars of the region whose majority may vouch, as one process knows them.
 */
import { create } from "@bufbuild/protobuf";
import { CompanionSet, CompanionSetSchema } from "../protocol";
import { SidecarSetView } from "./SidecarSetView";

/** Creates an empty copy of the set. */
export function createSidecarSetView(): SidecarSetView {
    let held = create(CompanionSetSchema);
    let instanceIds: ReadonlySet<string> = new Set();
    return {
        getNumber: () => held.number,
        getInstanceIds: () => instanceIds,
        apply,
        getSet: () => held,
    };

    function apply(set: CompanionSet): void {
        if (set.number <= held.number) {
            return;
        }
        held = set;
        instanceIds = new Set(set.instanceIds);
    }
}
