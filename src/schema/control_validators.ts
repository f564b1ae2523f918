/** Validator generated from schema/control.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"ControlMessage","description":"Commands on their way to the leader, and the answers to them.","type":"object","required":["type"],"discriminator":{"propertyName":"type"},"oneOf":[{"$ref":"#/$defs/Forward"},{"$ref":"#/$defs/Result"}],"$defs":{"Forward":{"title":"Forward","type":"object","additionalProperties":false,"required":["type","attempt","command"],"properties":{"type":{"type":"string","const":"forward"},"attempt":{"description":"Counts the sends of one command by one host.","type":"integer","minimum":1},"command":{"description":"Command of schema/command.yaml, checked against it.","type":"object","required":["id"],"properties":{"id":{"type":"string","minLength":1,"maxLength":96}}}}},"Result":{"title":"Result","type":"object","additionalProperties":false,"required":["type","id","attempt","status"],"properties":{"type":{"type":"string","const":"result"},"id":{"description":"Id of the command.","type":"string"},"attempt":{"type":"integer","minimum":1},"status":{"description":"not-leader and no-quorum say that this attempt is not applied;\ninvalid that the command never will be.\n","enum":["applied","not-leader","no-quorum","unknown","invalid"]},"reply":{"description":"Answer of the machine.","type":"object"},"leader":{"description":"Host to ask instead, if known.","type":"string"},"detail":{"type":"string"}}}}};
const schema32 = {"title":"Forward","type":"object","additionalProperties":false,"required":["type","attempt","command"],"properties":{"type":{"type":"string","const":"forward"},"attempt":{"description":"Counts the sends of one command by one host.","type":"integer","minimum":1},"command":{"description":"Command of schema/command.yaml, checked against it.","type":"object","required":["id"],"properties":{"id":{"type":"string","minLength":1,"maxLength":96}}}}};
const schema33 = {"title":"Result","type":"object","additionalProperties":false,"required":["type","id","attempt","status"],"properties":{"type":{"type":"string","const":"result"},"id":{"description":"Id of the command.","type":"string"},"attempt":{"type":"integer","minimum":1},"status":{"description":"not-leader and no-quorum say that this attempt is not applied;\ninvalid that the command never will be.\n","enum":["applied","not-leader","no-quorum","unknown","invalid"]},"reply":{"description":"Answer of the machine.","type":"object"},"leader":{"description":"Host to ask instead, if known.","type":"string"},"detail":{"type":"string"}}};

function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.type === undefined) && (missing0 = "type")){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const tag0 = data.type;
if(typeof tag0 == "string"){
if(tag0 === "forward"){
const _errs3 = errors;
if(errors === _errs3){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing1;
if((((data.type === undefined) && (missing1 = "type")) || ((data.attempt === undefined) && (missing1 = "attempt"))) || ((data.command === undefined) && (missing1 = "command"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Forward/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema32.required,parentSchema:schema32,data}];
return false;
}
else {
const _errs5 = errors;
for(const key0 in data){
if(!(((key0 === "type") || (key0 === "attempt")) || (key0 === "command"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Forward/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema32,data}];
return false;
break;
}
}
if(_errs5 === errors){
if(data.type !== undefined){
let data0 = data.type;
const _errs6 = errors;
if(typeof data0 !== "string"){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Forward/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.type.type,parentSchema:schema32.properties.type,data:data0}];
return false;
}
if("forward" !== data0){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Forward/properties/type/const",keyword:"const",params:{allowedValue: "forward"},message:"must be equal to constant",schema:"forward",parentSchema:schema32.properties.type,data:data0}];
return false;
}
var valid3 = _errs6 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data.attempt !== undefined){
let data1 = data.attempt;
const _errs8 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate20.errors = [{instancePath:instancePath+"/attempt",schemaPath:"#/$defs/Forward/properties/attempt/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema32.properties.attempt.type,parentSchema:schema32.properties.attempt,data:data1}];
return false;
}
if(errors === _errs8){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 1 || isNaN(data1)){
validate20.errors = [{instancePath:instancePath+"/attempt",schemaPath:"#/$defs/Forward/properties/attempt/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema32.properties.attempt,data:data1}];
return false;
}
}
}
var valid3 = _errs8 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data.command !== undefined){
let data2 = data.command;
const _errs10 = errors;
if(errors === _errs10){
if(data2 && typeof data2 == "object" && !Array.isArray(data2)){
let missing2;
if((data2.id === undefined) && (missing2 = "id")){
validate20.errors = [{instancePath:instancePath+"/command",schemaPath:"#/$defs/Forward/properties/command/required",keyword:"required",params:{missingProperty: missing2},message:"must have required property '"+missing2+"'",schema:schema32.properties.command.required,parentSchema:schema32.properties.command,data:data2}];
return false;
}
else {
if(data2.id !== undefined){
let data3 = data2.id;
const _errs12 = errors;
if(errors === _errs12){
if(typeof data3 === "string"){
if(data3.length > 96){
validate20.errors = [{instancePath:instancePath+"/command/id",schemaPath:"#/$defs/Forward/properties/command/properties/id/maxLength",keyword:"maxLength",params:{limit: 96},message:"must NOT have more than 96 characters",schema:96,parentSchema:schema32.properties.command.properties.id,data:data3}];
return false;
}
else {
if(data3.length < 1){
validate20.errors = [{instancePath:instancePath+"/command/id",schemaPath:"#/$defs/Forward/properties/command/properties/id/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema32.properties.command.properties.id,data:data3}];
return false;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/command/id",schemaPath:"#/$defs/Forward/properties/command/properties/id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.properties.command.properties.id.type,parentSchema:schema32.properties.command.properties.id,data:data3}];
return false;
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/command",schemaPath:"#/$defs/Forward/properties/command/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.properties.command.type,parentSchema:schema32.properties.command,data:data2}];
return false;
}
}
var valid3 = _errs10 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/Forward/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema32.type,parentSchema:schema32,data}];
return false;
}
}
var props0 = true;
}
else if(tag0 === "result"){
const _errs15 = errors;
if(errors === _errs15){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing3;
if(((((data.type === undefined) && (missing3 = "type")) || ((data.id === undefined) && (missing3 = "id"))) || ((data.attempt === undefined) && (missing3 = "attempt"))) || ((data.status === undefined) && (missing3 = "status"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Result/required",keyword:"required",params:{missingProperty: missing3},message:"must have required property '"+missing3+"'",schema:schema33.required,parentSchema:schema33,data}];
return false;
}
else {
const _errs17 = errors;
for(const key1 in data){
if(!(((((((key1 === "type") || (key1 === "id")) || (key1 === "attempt")) || (key1 === "status")) || (key1 === "reply")) || (key1 === "leader")) || (key1 === "detail"))){
validate20.errors = [{instancePath,schemaPath:"#/$defs/Result/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema33,data}];
return false;
break;
}
}
if(_errs17 === errors){
if(data.type !== undefined){
let data4 = data.type;
const _errs18 = errors;
if(typeof data4 !== "string"){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Result/properties/type/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.type.type,parentSchema:schema33.properties.type,data:data4}];
return false;
}
if("result" !== data4){
validate20.errors = [{instancePath:instancePath+"/type",schemaPath:"#/$defs/Result/properties/type/const",keyword:"const",params:{allowedValue: "result"},message:"must be equal to constant",schema:"result",parentSchema:schema33.properties.type,data:data4}];
return false;
}
var valid7 = _errs18 === errors;
}
else {
var valid7 = true;
}
if(valid7){
if(data.id !== undefined){
let data5 = data.id;
const _errs20 = errors;
if(typeof data5 !== "string"){
validate20.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Result/properties/id/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.id.type,parentSchema:schema33.properties.id,data:data5}];
return false;
}
var valid7 = _errs20 === errors;
}
else {
var valid7 = true;
}
if(valid7){
if(data.attempt !== undefined){
let data6 = data.attempt;
const _errs22 = errors;
if(!(((typeof data6 == "number") && (!(data6 % 1) && !isNaN(data6))) && (isFinite(data6)))){
validate20.errors = [{instancePath:instancePath+"/attempt",schemaPath:"#/$defs/Result/properties/attempt/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema33.properties.attempt.type,parentSchema:schema33.properties.attempt,data:data6}];
return false;
}
if(errors === _errs22){
if((typeof data6 == "number") && (isFinite(data6))){
if(data6 < 1 || isNaN(data6)){
validate20.errors = [{instancePath:instancePath+"/attempt",schemaPath:"#/$defs/Result/properties/attempt/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema33.properties.attempt,data:data6}];
return false;
}
}
}
var valid7 = _errs22 === errors;
}
else {
var valid7 = true;
}
if(valid7){
if(data.status !== undefined){
let data7 = data.status;
const _errs24 = errors;
if(!(((((data7 === "applied") || (data7 === "not-leader")) || (data7 === "no-quorum")) || (data7 === "unknown")) || (data7 === "invalid"))){
validate20.errors = [{instancePath:instancePath+"/status",schemaPath:"#/$defs/Result/properties/status/enum",keyword:"enum",params:{allowedValues: schema33.properties.status.enum},message:"must be equal to one of the allowed values",schema:schema33.properties.status.enum,parentSchema:schema33.properties.status,data:data7}];
return false;
}
var valid7 = _errs24 === errors;
}
else {
var valid7 = true;
}
if(valid7){
if(data.reply !== undefined){
let data8 = data.reply;
const _errs25 = errors;
if(!(data8 && typeof data8 == "object" && !Array.isArray(data8))){
validate20.errors = [{instancePath:instancePath+"/reply",schemaPath:"#/$defs/Result/properties/reply/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.properties.reply.type,parentSchema:schema33.properties.reply,data:data8}];
return false;
}
var valid7 = _errs25 === errors;
}
else {
var valid7 = true;
}
if(valid7){
if(data.leader !== undefined){
let data9 = data.leader;
const _errs27 = errors;
if(typeof data9 !== "string"){
validate20.errors = [{instancePath:instancePath+"/leader",schemaPath:"#/$defs/Result/properties/leader/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.leader.type,parentSchema:schema33.properties.leader,data:data9}];
return false;
}
var valid7 = _errs27 === errors;
}
else {
var valid7 = true;
}
if(valid7){
if(data.detail !== undefined){
let data10 = data.detail;
const _errs29 = errors;
if(typeof data10 !== "string"){
validate20.errors = [{instancePath:instancePath+"/detail",schemaPath:"#/$defs/Result/properties/detail/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema33.properties.detail.type,parentSchema:schema33.properties.detail,data:data10}];
return false;
}
var valid7 = _errs29 === errors;
}
else {
var valid7 = true;
}
}
}
}
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/$defs/Result/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.type,parentSchema:schema33,data}];
return false;
}
}
if(props0 !== true){
props0 = true;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "mapping", tag: "type", tagValue: tag0},message:"value of tag \"type\" must be in oneOf",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/discriminator",keyword:"discriminator",params:{error: "tag", tag: "type", tagValue: tag0},message:"tag \"type\" must be string",schema:schema31.discriminator,parentSchema:schema31,data}];
return false;
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
evaluated0.props = props0;
return errors === 0;
}
validate20.evaluated = {"dynamicProps":true,"dynamicItems":false};

