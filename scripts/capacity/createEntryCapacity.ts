/*
 * The resource use of control in an entry process.
 */
import { createSessionLines } from "./createSessionLines";
import { designSize } from "./designSize";
import { MeasuredFigures } from "./MeasuredFigures";
import { Resource } from "./Resource";
import { RoleCapacity } from "./RoleCapacity";

/**
 * Creates the section on an entry.
 * @param measuredFigures - The measured figures.
 */
export function createEntryCapacity(measuredFigures: MeasuredFigures): RoleCapacity {
    const session = createSessionLines(measuredFigures);
    const resident = measuredFigures.fitLine("entry.rest.{N}.resident", [0, 550, 1_100, 3_300], designSize.workspaces);
    const heap = measuredFigures.fitLine("entry.rest.{N}.heap", [0, 550, 1_100, 3_300], designSize.workspaces);
    const source = "scripts/measure/measureEntryMemory.ts";
    const changeFigureName = "configuration.view.change[2200]";
    return {
        title: "Entry",
        isDedicatedInstance: false,
        state: [
            "The configuration of all workspaces, as a view with the effective settings of the levels in use.",
            "The directory: one record of each entry and sidecar, 2,410 of them.",
            "A lease; hints from sidecars, which expire within a second. Nothing is stored on disk, and a restart loses nothing.",
        ],
        lines: [
            {
                name: "The process without configuration or directory",
                resource: Resource.Memory,
                slope: resident?.intercept,
                slopeUnit: "a process",
                count: 1,
                countName: "process",
                source,
                mechanism: "the bundle and Node's runtime",
                folder: "src/entry",
            },
            {
                name: "Configuration and directory, all levels in use",
                resource: Resource.Memory,
                slope: resident?.slope,
                slopeUnit: "a workspace with its 13 levels and its share of the directory, 1.1 records",
                count: designSize.workspaces,
                countName: "workspaces",
                source,
                mechanism: "one tree of levels; effective settings are computed once for each revision",
                folder: "src/control/configuration",
            },
            {
                name: "The idle process, with configuration and directory",
                resource: Resource.Processor,
                slope: measuredFigures.getValue(`entry.rest.${designSize.workspaces}.processor`),
                slopeUnit: "a process",
                count: 1,
                countName: "process",
                source,
                mechanism: "timers of the runtime and of the listener; no state is scanned periodically",
                folder: "src/entry",
            },
            ...session.lines,
            {
                name: "A change applied to a view of 2,200 workspaces",
                resource: Resource.Processor,
                slope: measuredFigures.getValue(changeFigureName),
                slopeUnit: "a change",
                count: designSize.changesPerSecond,
                countName: "changes/s",
                source: measuredFigures.getSource(changeFigureName),
                mechanism: "a delta affects only the levels that it names",
                folder: "src/control/configuration",
            },
        ],
        fits: [resident, heap, ...session.fits].filter(line => line !== undefined),
    };
}
