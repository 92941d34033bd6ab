import { expect } from "chai";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createLogger } from "../../src/logging";
import { Clock, createSystemClock } from "../../src/runtime";
import { loadTlsIdentity, TlsIdentity, TlsMaterial } from "../../src/security";
import { createTestAuthority } from "./createTestAuthority";

describe("loadTlsIdentity", () => {
    const authority = createTestAuthority("trusted");
    const otherAuthority = createTestAuthority("other");
    const first = authority.issue({ names: ["basilwing://entry/entry-1"] });
    const second = authority.issue({ names: ["basilwing://entry/entry-1"] });
    const otherKey = otherAuthority.key;
    let folder: string;
    let identity: TlsIdentity | undefined;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "basilwing-tls-"));
        await write(first);
    });

    afterEach(async () => {
        await identity?.stop();
        identity = undefined;
        await rm(folder, { recursive: true });
    });

    function getPath(name: string): string {
        return join(folder, name);
    }

    async function write(material: TlsMaterial): Promise<void> {
        await writeFile(getPath("certificate.pem"), material.certificate);
        await writeFile(getPath("key.pem"), material.key);
        await writeFile(getPath("authorities.pem"), material.authorities ?? "");
    }

    /** Loads the files, and polls them for changes at every turn of the event loop. */
    async function load(): Promise<string | undefined> {
        const clock: Clock = {
            ...createSystemClock(),
            sleep: () => new Promise(resolve => setImmediate(resolve)),
        };
        const outcome = await loadTlsIdentity({
            settings: {
                certificateFile: getPath("certificate.pem"),
                keyFile: getPath("key.pem"),
                authorityFile: getPath("authorities.pem"),
            },
            clock,
            logger: createLogger("entry-1", { level: "trace", file: getPath("log") }),
        });
        identity = outcome.kind === "loaded" ? outcome.identity : undefined;
        return outcome.kind === "invalid" ? outcome.problem : undefined;
    }

    /** Waits until a condition holds. */
    async function waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
        while (!await condition()) {
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    async function getLog(): Promise<string> {
        return await readFile(getPath("log"), "utf8").catch(() => "");
    }

    it("loads valid files", async () => {
        expect(await load()).to.equal(undefined);
        expect(identity!.getMaterial()).to.deep.equal(first);
    });

    describe("refuses", () => {
        async function doTest(file: string, content: string | undefined, expected: RegExp): Promise<void> {
            if (content === undefined) {
                await rm(getPath(file));
            }
            else {
                await writeFile(getPath(file), content);
            }
            expect(await load()).to.match(expected);
        }

        const expired = authority.issue({ names: [], validUntilMilliseconds: Date.now() - 1_000 }).certificate;
        it("a missing file", () => doTest("key.pem", undefined, /ENOENT/));
        it("an empty certificate file", () => doTest("certificate.pem", "", /holds no certificate/));
        it("a malformed key", () => doTest("key.pem", "key", /./));
        it("another certificate's key", () => doTest("key.pem", otherKey, /another certificate/));
        it("an expired certificate", () => doTest("certificate.pem", expired, /was valid until/));
        it("an empty authority file", () => doTest("authorities.pem", "", /authority file holds no/));
    });

    it("uses changed files without a restart", async () => {
        await load();
        let changes = 0;
        identity!.addChangeListener(() => changes += 1);
        await write({ ...second, authorities: first.authorities! + otherAuthority.certificate });
        await waitFor(() => identity!.getMaterial().authorities!.length > first.authorities!.length);
        expect(identity!.getMaterial().certificate).to.equal(second.certificate);
        expect(changes).to.be.greaterThan(0);
    });

    it("keeps the former files in use while the new ones do not belong together", async () => {
        await load();
        await writeFile(getPath("key.pem"), otherKey);
        await waitFor(async () => (await getLog()).includes("can't be used"));
        expect(identity!.getMaterial()).to.deep.equal(first);
        await writeFile(getPath("key.pem"), second.key);
        await writeFile(getPath("certificate.pem"), second.certificate);
        await waitFor(() => identity!.getMaterial().certificate === second.certificate);
    });

    it("logs no key", async () => {
        await load();
        await writeFile(getPath("key.pem"), `${otherKey}\n`);
        await waitFor(async () => (await getLog()).includes("can't be used"));
        const lines = first.key.split("\n").concat(otherKey.split("\n")).filter(line => line.length > 20);
        const log = await getLog();
        expect(lines.filter(line => log.includes(line))).to.deep.equal([]);
    });
});
