#!/bin/sh
exec "$(dirname "$0")/../play.sh" stale-leader 4
