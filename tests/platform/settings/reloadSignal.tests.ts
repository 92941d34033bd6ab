import { expect } from "chai";
import { readFileSync } from "node:fs";
import { reloadSignal } from "../../../platform/settings/reloadSignal";

describe("reloadSignal", () => {
    for (const program of ["entry", "control"]) {
        it(`does not end the ${program} process while its program is being loaded`, () => {
            const [firstImport] = /^import .*$/m.exec(readFileSync(`platform/${program}.ts`, "utf8"))!;
            expect(firstImport).to.equal("import \"./settings/reloadSignal\";");
        });
    }

    it("is handled before there is a listener, and then calls it", () => {
        let count = 0;
        process.emit("SIGHUP");
        reloadSignal.setListener(() => count += 1);
        process.emit("SIGHUP");
        reloadSignal.setListener(() => undefined);
        expect([process.listenerCount("SIGHUP"), count]).to.deep.equal([1, 1]);
    });
});
