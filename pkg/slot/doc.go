// Package slot decides which instance may use which slot of which pool, so that a limit
// on requests in progress holds across all instances together.
//
// # Assignment
//
// A pool has a limit and a fixed number of seats (8), which partition its slots: slot j
// belongs to seat j modulo the number of seats. The roster assigns the seats to the members
// that rank highest for the pool by rendezvous hash; if there are fewer members than seats,
// a member gets several. An instance uses a slot that it owns without sending a message,
// and may borrow a slot from another holder. It keeps state only for pools in which it
// holds or recently held slots or has adopted work.
//
// # Why no slot has two owners
//
// Ownership outlasts a change of the roster: an owner that is no longer assigned a seat
// keeps its slots, idle or in use, until it releases them. A new holder becomes the owner
// in only two ways.
//
//  1. The owner, whose roster does not assign it the seat, hands over an idle slot and
//     no longer owns it. The receiver accepts the slot only within the same
//     uninterrupted assignment of the seat for which it asked (Want.Since), so a late or
//     repeated answer adds nothing.
//  2. All possible holders have stated that they do not own it, under a roster at least as
//     new as Want.Since and no newer than the receiver's. The possible holders are all
//     current members that may have been assigned the seat since they joined: those for
//     which fewer than 8 higher-ranking members were present when they joined.
//
// Suppose that X comes to own a slot in the second way while N owns it. If N is not in X's
// roster, N was either removed, and so owned nothing, or joined later and must ask X.
// Otherwise N stated to X, at some epoch r, that it neither owns the slot nor is assigned
// it, and became the owner later, that is, under an epoch e above r. If e is within the
// epochs that assign the seat to X without interruption, no roster of epoch e assigns it
// to N; X starts a new assignment whenever it skips an epoch. If e is newer than X's
// roster, N needs X's own statement, which X gives only when a roster at least as new does
// not assign it the seat, and that ends X's uninterrupted assignment; or N received the slot
// from an owner, to which the same argument applies at an earlier time.
//
// # Members that end
//
// A member is removed from the roster only when it can no longer use anything. A member
// that leaves first marks itself as leaving, starts no new work, and removes itself once it
// uses, lends and borrows nothing. A member that is proved to have ended is marked as
// ended. The RemovalTracker allows its removal after the time for which a target continues
// work whose connection was lost, and after every other member has refused further loans
// from it, has ended the loans it had from it, and has a slot for all work that it adopted.
// Until then the ended member's slots are idle. A lender still owns a slot that it lends; it
// gets the slot back when the borrower returns it, denies having it, or has been removed.
//
// An incarnation that was removed never starts work again and gives up what it owned, even
// if it is put on a roster once more. Asks, loans, audits and fences name the incarnation
// they are meant for, since a newer one at the address would answer that it has nothing
// while work of the former one is still running.
//
// # Borrowers that are not members
//
// An instance that cannot join, because it does not reach the service, may borrow from
// members. It owns nothing, lends nothing and adopts no work without a slot, so ownership
// does not depend on it. A slot could be used twice only if a loan were lost by its lender
// or by the instances that later take over the lender's slots.
//
// The lender keeps the loan as long as no roster that it sees has the borrower. It ends the
// loan when
//
//   - the borrower returns the slot or denies, under its own name, having it; or
//   - the borrower became a member and was removed, which requires the proof given above.
//
// A borrower that neither answers nor returns the slot is put on the roster by its lender:
// as ended if a newer incarnation has joined in its place, and otherwise as a member whose
// end the platform's list has to prove. If it is in fact running, it is in the same position
// as a member whose write of the roster was not answered. A newer incarnation alone does not
// free the slot: a member may have adopted the work, and only the fences before a removal
// show that none has.
//
// A lender that has ended is not removed while a borrower may use its slot. The
// RemovalTracker therefore also requires answers from the instances on the platform's list
// that are not members. Suppose that X borrowed from L. L had ended when the list first
// lacked it, and X had started before that. One list lag later the list has X, or X has
// ended, or X is a member. If the list has X, X must agree, or be absent for the time for
// which a target continues its work. If X had ended, its work has ended that time later, and
// the RemovalTracker waits for it from the first such list. If X became a member
// after the roster was read, the removal is not written, since the version has changed. X
// agrees only when it uses no slot of L, and accepts none from L afterwards. The list is
// trusted in the same way as for the ends of members: it shows a running instance after its
// lag and drops none that runs.
//
// # Limits that change
//
// A slot at or above the new limit gets no new work as soon as its owner knows the revision,
// and work on it ends normally. While a revision spreads, the work in progress is at most
// the larger of the two limits; after that, new work starts only below the new one.
//
// The caller guards the Holder and the RemovalTracker with its own lock. The package
// imports nothing else of the project.
package slot
