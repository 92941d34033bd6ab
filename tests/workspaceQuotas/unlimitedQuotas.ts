import { ForwarderOptions } from "../../src/forwarding";

/** Admits all requests, as where no workspace has a quota. */
export const unlimitedQuotas: ForwarderOptions["workspaceQuotas"] = {
    admit: () => ({ kind: "admitted", charge: undefined }),
};
