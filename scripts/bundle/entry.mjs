// The entry point of the bundle. The handler of the reload signal comes first, since a signal without one ends the process.
import "../../platform/settings/reloadSignal";
import "./headers.mjs";
import "../../platform/entry";
