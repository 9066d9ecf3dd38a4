#!/bin/sh
exec "$(dirname "$0")/../play.sh" early-answer 1
