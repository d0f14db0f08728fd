/** The control side of a router: controllers over the blackboard. */
@NullMarked
package io.hornbeamfield.router.control;

import org.jspecify.annotations.NullMarked;
