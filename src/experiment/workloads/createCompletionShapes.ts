/*
 * Draws completions: who asks, for what, and with which nested prefixes.
 */
import { PriorityName } from "../../control/configuration";
import { RandomSource } from "../../runtime";
import { chooseByShare } from "./chooseByShare";
import { CompletionShape } from "./CompletionShape";
import { getZipfShares } from "./getZipfShares";
import { PromptPart } from "./PromptPart";
import { WorkloadProfile } from "./WorkloadProfile";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

const pieceTokens = 4_096;
const hotShiftDocuments = 17;

interface CompletionShapes {
    /**
     * Draws a completion.
     * @param isShifted - Whether other documents are the popular ones by now.
     * @param subscriber - Who asks; drawn too where absent.
     */
    draw(isShifted: boolean, subscriber?: WorkloadSubscriber): CompletionShape;
}

/** Creates the source of a workload's completions. */
export function createCompletionShapes(
    profile: WorkloadProfile,
    subscribers: readonly WorkloadSubscriber[],
    random: RandomSource,
): CompletionShapes {
    const documentShares = getZipfShares(profile.documentsPerWorkspace);
    let drawn = 0;
    return { draw };

    function draw(isShifted: boolean, wanted?: WorkloadSubscriber): CompletionShape {
        drawn += 1;
        const subscriber = wanted ?? drawSubscriber();
        return random.getFraction() < profile.shortShare
            ? drawShort(subscriber, isShifted)
            : drawLong(subscriber, isShifted);
    }

    function drawSubscriber(): WorkloadSubscriber {
        const workspace = chooseByShare(profile.workspaceShares, random.getFraction());
        const isHeavy = random.getFraction() < profile.heavyShare;
        const index = isHeavy
            ? random.getInteger(profile.heavySubscribers)
            : profile.heavySubscribers
                + random.getInteger(profile.subscribersPerWorkspace - profile.heavySubscribers);
        return subscribers[workspace * profile.subscribersPerWorkspace + index]!;
    }

    function drawShort(subscriber: WorkloadSubscriber, isShifted: boolean): CompletionShape {
        const { least, most } = profile.shortSharedPieces;
        const sharedTokens = pieceTokens * drawBetween(least, most);
        const shared = profile.isShortOnDocument
            ? { ...drawDocument(subscriber, isShifted), tokens: sharedTokens }
            : { id: `${subscriber.workspace}/${subscriber.team}/handbook`, tokens: sharedTokens };
        return {
            kind: "completion",
            subscriber,
            purpose: profile.shortPurpose,
            isShort: true,
            parts: [getWorkspacePart(subscriber), shared, drawTail(profile.shortTailTokens)],
            maximumTokens: profile.shortMaximumTokens,
            priority: PriorityName.Interactive,
        };
    }

    function drawLong(subscriber: WorkloadSubscriber, isShifted: boolean): CompletionShape {
        const document = drawDocument(subscriber, isShifted);
        return {
            kind: "completion",
            subscriber,
            purpose: "summary",
            isShort: false,
            parts: [getWorkspacePart(subscriber), document, drawTail(profile.longTailTokens)],
            maximumTokens: profile.longMaximumTokens,
            priority: PriorityName.Deferred,
        };
    }

    function getWorkspacePart(subscriber: WorkloadSubscriber): PromptPart {
        return { id: subscriber.workspace, tokens: profile.workspacePromptTokens };
    }

    /** Draws a document by its popularity; its length follows from its number. */
    function drawDocument(subscriber: WorkloadSubscriber, isShifted: boolean): PromptPart {
        const rank = chooseByShare(documentShares, random.getFraction());
        const number = (rank + (isShifted ? hotShiftDocuments : 0)) % profile.documentsPerWorkspace;
        return { id: `${subscriber.workspace}/document-${number}`, tokens: getDocumentTokens(number) };
    }

    /** Gets a document's length: most are short, a few long, without regard to their popularity. */
    function getDocumentTokens(number: number): number {
        const { least, most } = profile.documentPieces;
        const position = number * 7 % profile.documentsPerWorkspace / profile.documentsPerWorkspace;
        return Math.round(pieceTokens * (least + (most - least) * position * position));
    }

    function drawTail(bounds: { least: number; most: number; }): PromptPart {
        return { id: `tail-${drawn}`, tokens: drawBetween(bounds.least, bounds.most) };
    }

    function drawBetween(least: number, most: number): number {
        return least + random.getInteger(most - least + 1);
    }
}
