/*
 * Placement of prompts with shared prefixes, without any state. Two entry processes with the same list of backend servers
 * choose the same server for a prompt, and the loss of a server moves only the prompts that were placed on it.
 *
 * Run: npx tsx examples/placement.ts
 */
import { create } from "@bufbuild/protobuf";
import {
    createPlacement,
    createPrefixChain,
    createRandomSource,
    createSystemClock,
    Placement,
    ProcessRecord,
    ProcessRecordSchema,
} from "../src";

const blockBytes = 64;
const promptCount = 200;
const scope = { workspace: "notebooks", model: "large", version: "8" };
const clock = createSystemClock();
const firstPlacement = createPlacement({ clock, random: createRandomSource(1) });
const secondPlacement = createPlacement({ clock, random: createRandomSource(2) });
const servers = [...Array(8).keys()].map(index =>
    create(ProcessRecordSchema, { instanceId: `replica-${index}`, serves: "large" })
);
const remainingServers = servers.filter(({ instanceId }) => instanceId !== "replica-3");

/** Gets the instance id of the first choice for a prompt that begins with the text of a notebook. */
function choose(placement: Placement, notebook: number, candidates: readonly ProcessRecord[]): string {
    const prompt = `notebook ${notebook} `.repeat(40);
    const { hashes } = createPrefixChain(prompt, scope, blockBytes);
    const request = { modelOrService: "large", hashes, promptTokens: 128, requestId: "", excluded: new Set<string>() };
    return placement.rank(request, candidates)[0]!.instanceId;
}

const notebooks = [...Array(promptCount).keys()];
const agreedNotebooks = notebooks.filter(notebook =>
    choose(firstPlacement, notebook, servers) === choose(secondPlacement, notebook, servers)
);
console.log(`entries agree on ${agreedNotebooks.length} of ${promptCount} prompts`);
const movedNotebooks = notebooks.filter(notebook =>
    choose(firstPlacement, notebook, servers) !== choose(firstPlacement, notebook, remainingServers)
);
const notebooksOnLostReplica = notebooks.filter(notebook => choose(firstPlacement, notebook, servers) === "replica-3");
console.log(
    `all moved prompts were on the lost replica: ${
        movedNotebooks.every(notebook => notebooksOnLostReplica.includes(notebook))
    }`,
);
console.log(`all prompts on the lost replica moved: ${movedNotebooks.length === notebooksOnLostReplica.length}`);
